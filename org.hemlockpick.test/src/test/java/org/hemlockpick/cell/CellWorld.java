package org.hemlockpick.cell;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import org.hemlockpick.cell.rows.RowLimits;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.fakes.VirtualTime;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.TaskNote;
import org.jspecify.annotations.Nullable;

/** Simulates entry instances with a table service and workers, in virtual time. */
final class CellWorld {
  static final String QUEUE = "topup";
  static final String SERVICE = "litepay";

  /** Time between two ticks of a process, if it is not slow, in milliseconds. */
  static final long TICK_MILLIS = 10;

  /** Interval at which a worker writes its entry of the platform's list. */
  private static final long HEARTBEAT_MILLIS = 500;

  private static final long START_MILLIS = 1_000_000;
  static final long LEASE_MILLIS = 5_000;
  private static final long STATUS_KEEP_MILLIS = 120_000;
  static final int MAX_ATTEMPTS = 50;

  /** The queue of a configuration that names no queues. */
  static final Queue DEFAULT_QUEUE = queue(QUEUE, "/topup/", SERVICE, MAX_ATTEMPTS);

  static final ResourceAmounts WORKER_CAPACITY = new ResourceAmounts(8_000, 32_000, 0);

  final VirtualTime time = new VirtualTime(START_MILLIS);
  final FakeStore store;
  final FakeWorkers workers;
  final List<Node> nodes = new ArrayList<>();
  final Evacuations evacuations;
  final List<String> log = new ArrayList<>();
  private final Map<String, Submission> accepted = new LinkedHashMap<>();

  /** Jobs whose acceptance was confirmed to their caller. */
  private final Map<String, Submission> acknowledged = new LinkedHashMap<>();

  /** Whether a job may run at a worker as far as its queue says. */
  BiPredicate<String, String> mayRun = (job, worker) -> true;

  /** Are told the identifier of each job whose acceptance was confirmed, and by which node. */
  final List<BiConsumer<String, Node>> onAcknowledged = new ArrayList<>();

  private final List<String> workerIds = new ArrayList<>();
  private final SplittableRandom random;
  private final int rowBytes;
  private final long leaseMillis;
  private final long statusKeepMillis;
  private final long evacuationBoundMillis;
  private int incarnationCount;

  /** Whether processes go on after a tick that throws, as real ones do; else it fails the test. */
  boolean continuesAfterFailedTicks;

  /** Version of the newest configuration with a list of queues. */
  private int configurationVersion = 10;

  /** The newest queue of each name that a list of queues has had. */
  private final Map<String, Queue> queues = new HashMap<>();

  /** Services of the workers that do not belong to {@link #SERVICE}. */
  private final Map<String, String> otherServices = new HashMap<>();

  CellWorld(long seed, int nodeCount, int workerCount) {
    this(seed, nodeCount, workerCount, LEASE_MILLIS);
  }

  /**
   * Creates a world in which workers grant leases of another length.
   *
   * @param leaseMillis longest lease of a worker
   */
  CellWorld(long seed, int nodeCount, int workerCount, long leaseMillis) {
    this(seed, nodeCount, workerCount, leaseMillis, STATUS_KEEP_MILLIS);
  }

  /**
   * Creates a world in which the states of jobs that have ended are kept for another time.
   *
   * @param statusKeepMillis this time, in milliseconds
   */
  CellWorld(long seed, int nodeCount, int workerCount, long leaseMillis, long statusKeepMillis) {
    this(seed, nodeCount, workerCount, leaseMillis, statusKeepMillis, 1, 0);
  }

  /**
   * Creates a world with several availability zones, which may be evacuated.
   *
   * @param zoneCount number of zones, over which the workers are spread in turn
   * @param evacuationBoundMillis setting of the entry instances
   */
  CellWorld(
      long seed,
      int nodeCount,
      int workerCount,
      long leaseMillis,
      long statusKeepMillis,
      int zoneCount,
      long evacuationBoundMillis) {
    this(
        seed,
        nodeCount,
        workerCount,
        leaseMillis,
        statusKeepMillis,
        zoneCount,
        evacuationBoundMillis,
        RowLimits.DEFAULT_ROW_BYTES);
  }

  /**
   * Creates a world with rows of another size.
   *
   * @param rowBytes largest value of a row, in bytes
   */
  CellWorld(
      long seed,
      int nodeCount,
      int workerCount,
      long leaseMillis,
      long statusKeepMillis,
      int zoneCount,
      long evacuationBoundMillis,
      int rowBytes) {
    this.rowBytes = rowBytes;
    this.leaseMillis = leaseMillis;
    this.statusKeepMillis = statusKeepMillis;
    this.evacuations = new Evacuations(this, zoneCount);
    this.evacuationBoundMillis = evacuationBoundMillis;
    random = new SplittableRandom(seed);
    store = new FakeStore(time, random.nextLong());
    store.maxRowBytes = rowBytes;
    workers = new FakeWorkers(time, random.nextLong(), leaseMillis);
    workers.onReturned = this::onWorkerReturned;
    workers.onStartOrdered = evacuations::check;
    store.put("operator", "configuration", ByteString.copyFromUtf8("1"));
    for (int i = 0; i < workerCount; i++) {
      workers.add("w" + i);
      workerIds.add("w" + i);
      registerWorker("w" + i);
    }
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node("n" + i));
    }
  }

  /** Returns whether the entry instances follow requests to evacuate zones. */
  boolean isEvacuationEnabled() {
    return evacuationBoundMillis > 0;
  }

  /** Returns a parser of the rows, as a machine that reads all configurations has it. */
  ConfigurationSource newSource() {
    return new Source(nodes.get(0));
  }

  /** Starts another entry instance. */
  void addNode() {
    nodes.add(new Node("n" + nodes.size()));
  }

  /** Adds a worker to the platform's list, or replaces its entry. */
  void registerWorker(String worker) {
    FakeWorkers.Model model = workers.get(worker);
    ResourceAmounts capacity = model.capacity();
    String entry =
        String.join(
            " ",
            Long.toString(model.bootTimeMillis()),
            "ready",
            Long.toString(capacity.cpuMillis()),
            Long.toString(capacity.memoryMb()),
            Long.toString(capacity.gpus()));
    String service = otherServices.get(worker);
    entry += service == null ? "" : " " + service;
    store.put("workers", worker, ByteString.copyFromUtf8(entry));
  }

  /** Registers a worker for another service. */
  void moveWorker(String worker, String service) {
    otherServices.put(worker, service);
    registerWorker(worker);
  }

  static Queue queue(String name, String pathPrefix, String service, int maxAttempts) {
    return new Queue(name, "host", pathPrefix, service, 0, maxAttempts, 2, 1_000, false);
  }

  /** Puts a new configuration in force that has exactly these queues. */
  void configure(Queue... newest) {
    StringBuilder text = new StringBuilder().append(++configurationVersion).append("\nqueues");
    for (Queue queue : newest) {
      queues.put(queue.name(), queue);
      text.append('\n')
          .append(queue.name())
          .append(' ')
          .append(queue.pathPrefix())
          .append(' ')
          .append(queue.service())
          .append(' ')
          .append(queue.maxAttempts());
    }
    store.put("operator", "configuration", ByteString.copyFromUtf8(text.toString()));
  }

  /** Returns where the caller of a job of the default queue asks for it. */
  static JobAddress address(String id) {
    return address(DEFAULT_QUEUE, id);
  }

  static JobAddress address(Queue queue, String id) {
    return new JobAddress(queue.host(), queue.pathPrefix(), id);
  }

  /** Changes the capacity of a worker, which writes its entry after a time in milliseconds. */
  void resizeWorker(String worker, ResourceAmounts capacity, long writtenAfterMillis) {
    workers.get(worker).setCapacity(capacity);
    time.after(writtenAfterMillis, () -> registerWorker(worker));
  }

  /** Has the workers refuse what exceeds their capacity, or not, as the configuration says. */
  void setGuardsCapacity(boolean guards) {
    String version = (guards ? "2" : "3 unguarded");
    store.put("operator", "configuration", ByteString.copyFromUtf8(version));
    for (String worker : workerIds) {
      workers.get(worker).guardsCapacity = guards;
    }
  }

  /** Lists a worker that is back after a crash, and no more under the identifier that it had. */
  private void onWorkerReturned(String returned, String previous) {
    store.remove("workers", previous);
    registerWorker(returned);
  }

  /**
   * Lists a worker as draining, with the remaining time in each heartbeat; it leaves after a time
   * in milliseconds.
   */
  void drainWorker(String worker, long remainingMillis) {
    drainWorker(worker, remainingMillis, remainingMillis);
  }

  /** Does the same with a worker that leaves sooner than its heartbeats tell. */
  void drainWorker(String worker, long remainingMillis, long stayMillis) {
    listAsDraining(worker, time.millis() + remainingMillis, time.millis() + stayMillis);
    time.after(
        stayMillis,
        () -> {
          workers.get(worker).disconnected = true;
          workers.get(worker).endAllRuns();
          store.remove("workers", worker);
        });
  }

  private void listAsDraining(String worker, long toldAt, long leavesAt) {
    if (time.millis() < leavesAt) {
      long remainingMillis = toldAt - time.millis();
      String entry = workers.get(worker).bootTimeMillis() + " " + remainingMillis;
      store.put("workers", worker, ByteString.copyFromUtf8(entry));
      time.after(HEARTBEAT_MILLIS, () -> listAsDraining(worker, toldAt, leavesAt));
    }
  }

  static Step step(int count, Integer... dependsOn) {
    return step(count, false, null, 0, false, List.of(dependsOn));
  }

  /** Creates a step whose tasks run as a gang, or with a maximum number per worker. */
  static Step constrainedStep(int count, boolean gang, int maxPerWorker) {
    return step(count, gang, null, maxPerWorker, false, List.of());
  }

  /** Creates a step with constraints on where its tasks run, with which others, or for how long. */
  static Step step(
      int count,
      boolean gang,
      @Nullable String label,
      int maxPerWorker,
      boolean longRunning,
      List<Integer> dependsOn) {
    return new Step(
        count,
        new ResourceAmounts(2_000, 4_000, 0),
        500,
        dependsOn,
        false,
        gang,
        false,
        label,
        null,
        maxPerWorker,
        false,
        longRunning,
        "image",
        0,
        false,
        null);
  }

  /** Creates a step of tasks of which hundreds fit on a worker. */
  static Step tinyStep(int count, boolean longRunning, Integer... dependsOn) {
    return new Step(
        count,
        new ResourceAmounts(10, 10, 0),
        500,
        List.of(dependsOn),
        true,
        false,
        false,
        null,
        null,
        0,
        false,
        longRunning,
        "image",
        0,
        false,
        null);
  }

  /** Creates a step of serving tasks with a tail target, of which one may be at a worker. */
  static Step servingStep(int count, String image, int tailTargetMillis) {
    return step(count, image, tailTargetMillis, false);
  }

  /** Creates a step of fillers. */
  static Step fillerStep(int count, String image) {
    return step(count, image, 0, true);
  }

  private static Step step(int count, String image, int tailTargetMillis, boolean filler) {
    return new Step(
        count,
        new ResourceAmounts(2_000, 1_000, 0),
        500,
        List.of(),
        false,
        false,
        false,
        null,
        null,
        filler ? 0 : 1,
        false,
        !filler,
        image,
        tailTargetMillis,
        filler,
        null);
  }

  static Submission job(String id, long now, Step... steps) {
    return new Submission(id, QUEUE, "spec", List.of(steps), 0, 0, 0, now);
  }

  /** Submits a job at a node, and again at others until it is accepted. */
  void submit(int node, String id, Step... steps) {
    submit(node, job(id, time.millis(), steps));
  }

  /** Submits any job in the same way. */
  void submit(int node, Submission job) {
    workers.expect(job);
    accepted.put(job.id(), job);
    trySubmit(node, job);
  }

  private void trySubmit(int index, Submission job) {
    Node node = nodes.get(index % nodes.size());
    CellMember process = node.process;
    if (process == null || node.isPaused()) {
      time.after(200, () -> trySubmit(index + 1, job));
      return;
    }
    boolean[] answered = new boolean[1];
    process.submit(
        job,
        2_000,
        reply -> {
          answered[0] = true;
          if (reply.code() == ResultCode.DONE) {
            acknowledge(job, node);
          } else if (reply.code() == ResultCode.UNKNOWN_SERVICE) {
            onRefused(job);
          } else {
            time.after(200, () -> trySubmit(index + 1, job));
          }
        });
    time.after(2_500, () -> retryUnlessAnswered(answered[0], index + 1, job));
  }

  /** Forgets a job whose queue is not in force, unless an earlier call for it was accepted. */
  private void onRefused(Submission job) {
    if (!acknowledged.containsKey(job.id())) {
      accepted.remove(job.id());
    }
  }

  private void acknowledge(Submission job, Node node) {
    if (accepted.containsKey(job.id()) && acknowledged.putIfAbsent(job.id(), job) == null) {
      List.copyOf(onAcknowledged).forEach(listener -> listener.accept(job.id(), node));
    }
  }

  /** Does not count a job as accepted any more, as its caller cancels it. */
  void disregard(String id) {
    accepted.remove(id);
    acknowledged.remove(id);
  }

  /** Submits again at another node, as a caller whose connection broke does. */
  private void retryUnlessAnswered(boolean answered, int index, Submission job) {
    if (!answered) {
      trySubmit(index, job);
    }
  }

  /** Returns the jobs whose acceptance was confirmed to their caller. */
  List<Submission> acceptedJobs() {
    return List.copyOf(acknowledged.values());
  }

  /** Returns whether the platform lists a worker as draining. */
  boolean isDraining(String worker) {
    String entry = store.platformValue("workers", worker).map(ByteString::toStringUtf8).orElse("");
    return entry.split(" ", -1).length == 2;
  }

  /**
   * Returns the address of a worker; the identifiers of workers that follow each other at an
   * address differ behind the tilde.
   */
  static String workerAddress(String worker) {
    return worker.split("~", -1)[0] + ":1";
  }

  /** Returns whether it is stored that a job has failed. */
  boolean isStoredAsFailed(Submission job) {
    return store
        .value("progress", job.id())
        .flatMap(JobRows::progress)
        .map(record -> JobRows.state(record.getState()) == JobState.FAILED)
        .orElse(false);
  }

  /** Returns how many failures of the tasks of a job are stored. */
  int failures(String id) {
    return store
        .value("progress", id)
        .flatMap(JobRows::progress)
        .map(record -> sumOfFailures(record))
        .orElse(0);
  }

  private static int sumOfFailures(ProgressRecord record) {
    return record.getStepsList().stream()
        .flatMap(step -> step.getNotesList().stream())
        .mapToInt(TaskNote::getFailures)
        .sum();
  }

  /** Asks a node that is up for the state of a job of the default queue. */
  @Nullable JobState state(String id) {
    return state(address(id));
  }

  /** Asks a node that is up for the state of a job. */
  @Nullable JobState state(JobAddress job) {
    CallerReply reply = ask(job);
    return reply == null ? null : reply.state();
  }

  /** Asks a node that is up for a job; null if there is no reply in time. */
  @Nullable CallerReply ask(JobAddress job) {
    List<CallerReply> replies = new ArrayList<>();
    Node node =
        nodes.stream().filter(n -> n.process != null && !n.isPaused()).findFirst().orElseThrow();
    CellMember process = node.process;
    if (process != null) {
      process.state(job, 1_000, replies::add);
    }
    time.runFor(1_200);
    return replies.isEmpty() ? null : replies.get(0);
  }

  /** Returns the accepted jobs whose state is not returned as completed. */
  List<String> unfinished() {
    List<String> unfinished = new ArrayList<>();
    for (Submission job : accepted.values()) {
      Queue queue = queues.getOrDefault(job.queue(), DEFAULT_QUEUE);
      JobState state = state(address(queue, job.id()));
      if (state != JobState.COMPLETED) {
        unfinished.add(job.id() + " " + state);
      }
    }
    return unfinished;
  }

  Node holder() {
    return nodes.stream()
        .filter(node -> node.process != null && node.process.isHolder())
        .findFirst()
        .orElseThrow();
  }

  /** The machine of an entry instance, and the newest process there. */
  final class Node implements LoopClock {
    final String name;
    FakeStore.View storeView;
    FakeWorkers.View workerView;
    @Nullable CellMember process;
    private Incarnation incarnation;
    private final List<Incarnation> incarnations = new ArrayList<>();
    private int suspensions;
    private long suspendedSince;
    private long suspendedMillis;

    Node(String name) {
      this.name = name;
      incarnation = newIncarnation(name + ":1");
      storeView = incarnation.storeView;
      workerView = incarnation.workerView;
      process = incarnation.cell;
    }

    /** Returns what the newest process has counted. */
    RecordedMetrics metrics() {
      return incarnation.metrics;
    }

    /** Starts a process at the address of the previous one, which has ended. */
    void start() {
      use(newIncarnation(incarnation.address));
    }

    /**
     * Starts a process at an address of its own while the previous one goes on, and returns the
     * latter.
     */
    Incarnation startAlongside() {
      Incarnation previous = incarnation;
      use(newIncarnation(name + ":" + (incarnations.size() + 1)));
      return previous;
    }

    private void use(Incarnation newest) {
      incarnation = newest;
      storeView = newest.storeView;
      workerView = newest.workerView;
      process = newest.cell;
    }

    private Incarnation newIncarnation(String address) {
      Incarnation started = new Incarnation(this, address, "i" + ++incarnationCount);
      incarnations.add(started);
      for (int i = 0; i < suspensions; i++) {
        started.inbox.pause();
      }
      started.tick();
      return started;
    }

    /** Submits a job and returns the time until the reply, in milliseconds. */
    long timeToReply(String id) {
      long submittedAt = time.millis();
      long[] answeredAt = new long[1];
      Submission job = job(id, submittedAt, step(1));
      workers.expect(job);
      process().submit(job, 3_000, reply -> answeredAt[0] = time.millis());
      time.runFor(3_000);
      return answeredAt[0] - submittedAt;
    }

    /** Returns the process, which must be up. */
    CellMember process() {
      return Objects.requireNonNull(process);
    }

    /** Returns the newest process with its connections to the store and the workers. */
    Incarnation incarnation() {
      return incarnation;
    }

    /** Returns whether the newest process is paused. */
    boolean isPaused() {
      return incarnation.inbox.isPaused();
    }

    /** Ends the newest process at once; nothing that it sent later arrives. */
    void kill() {
      process = null;
      incarnation.kill();
    }

    /** Ends the newest process and earlier ones that still run. */
    void killAll() {
      process = null;
      incarnations.forEach(Incarnation::kill);
      incarnations.clear();
    }

    /** Pauses the newest process as SIGSTOP does; both clocks go on. */
    void pause(long millis) {
      incarnation.pause(millis);
    }

    /** Suspends the machine; its monotonic clock stops meanwhile. */
    void suspend(long millis) {
      if (suspensions++ == 0) {
        suspendedSince = time.millis();
      }
      incarnations.forEach(each -> each.inbox.pause());
      time.after(millis, this::resume);
    }

    private void resume() {
      if (--suspensions == 0) {
        suspendedMillis += time.millis() - suspendedSince;
      }
      List.copyOf(incarnations).forEach(Incarnation::resume);
    }

    @Override
    public long monotonicMillis() {
      return (suspensions > 0 ? suspendedSince : time.millis()) - suspendedMillis;
    }

    @Override
    public long wallMillis() {
      return time.millis() + wallOffsetMillis;
    }

    /** Size of the machine for processes that are started from now on. */
    InstanceSize size = InstanceSize.AMPLE;

    /** Offset by which the wall clock is ahead, in milliseconds. */
    long wallOffsetMillis;

    /** Whether newer configurations do not reach this machine. */
    boolean missesConfigurations;
  }

  /** Writes time, process, kind, subject, outcome, reason and the token if there is one. */
  private final class IncarnationLog implements DecisionLog {
    private final String name;
    private final long token;

    IncarnationLog(String name, long token) {
      this.name = name;
      this.token = token;
    }

    @Override
    public void decided(String kind, String subject, String outcome, String reason) {
      String text = String.join(" ", name, kind, subject, outcome, "(" + reason + ")");
      log.add(time.millis() + " " + text + (token == 0 ? "" : " under " + token));
    }

    @Override
    public DecisionLog withToken(long newToken) {
      return new IncarnationLog(name, newToken);
    }
  }

  /** One process of an entry instance. */
  final class Incarnation {
    final Inbox inbox = new Inbox(time);
    final FakeStore.View storeView = store.view(inbox);
    final FakeWorkers.View workerView = workers.view(inbox);
    final RecordedMetrics metrics = new RecordedMetrics();
    final CellMember cell;
    private final String address;

    /** Time between two ticks in milliseconds. */
    long tickMillis = TICK_MILLIS;

    private boolean ended;

    Incarnation(Node node, String address, String incarnation) {
      this.address = address;
      cell =
          new CellMember(
              new CellSettings(
                  node.name,
                  address,
                  incarnation,
                  "c0",
                  leaseMillis,
                  200,
                  statusKeepMillis,
                  evacuationBoundMillis,
                  node.size,
                  rowBytes),
              storeView,
              workerView,
              new Source(node),
              node,
              new IncarnationLog(node.name + "/" + incarnation, 0),
              metrics,
              new SplittableRandom(random.nextLong()));
    }

    private void tick() {
      if (ended) {
        return;
      }
      if (!inbox.isPaused()) {
        tickSafely();
      }
      time.after(tickMillis, this::tick);
    }

    private void tickSafely() {
      try {
        cell.tick();
      } catch (RuntimeException e) {
        if (!continuesAfterFailedTicks) {
          throw e;
        }
        log.add(time.millis() + " " + address + " tick failed: " + e);
      }
    }

    /** Pauses the process as SIGSTOP does; both clocks go on. */
    void pause(long millis) {
      inbox.pause();
      time.after(millis, this::resume);
    }

    /**
     * Pauses the process at the next start of a run that it decides on: the order and what follows
     * in the same tick are sent when it resumes, before any reply is read.
     */
    void pauseBeforeSending(long millis) {
      workerView.beforeNextStart(
          () -> {
            workerView.hold();
            storeView.outbox.hold();
            inbox.pause();
            time.after(millis, this::sendAndResume);
          });
    }

    private void sendAndResume() {
      workerView.release();
      storeView.outbox.release();
      resume();
    }

    private void resume() {
      inbox.resume();
    }

    /** Ends the process at once; nothing that it sent later arrives. */
    void kill() {
      ended = true;
      storeView.disconnected = true;
      workerView.disconnected = true;
      storeView.outbox.close();
      workerView.outbox.close();
      inbox.close();
    }
  }

  /**
   * Parses the rows of the fakes: a configuration's version, followed by a word if the workers do
   * not guard their capacity, and by the queues in lines of their own if they are named; and the
   * boot time of a worker, followed by its remaining time if it is draining, or by a word, its
   * capacity, and its service if it is not the usual one.
   */
  private final class Source implements ConfigurationSource {
    private final Node node;

    Source(Node node) {
      this.node = node;
    }

    @Override
    public String operatorTable() {
      return "operator";
    }

    @Override
    public String configurationKey() {
      return "configuration";
    }

    @Override
    public String evacuationKeyPrefix() {
      return Evacuations.KEY_PREFIX;
    }

    @Override
    public Optional<Configuration> configuration(ByteString value) {
      if (node.missesConfigurations) {
        return Optional.empty();
      }
      List<String> lines = value.toStringUtf8().lines().toList();
      String[] fields = lines.get(0).split(" ", -1);
      List<Queue> queues = new ArrayList<>();
      lines.stream().skip(2).map(this::queue).forEach(queues::add);
      Map<String, ServiceEntry> services = new HashMap<>();
      services.put(SERVICE, new ServiceEntry(SERVICE, fields.length == 1, false));
      queues.forEach(
          queue -> services.put(queue.service(), new ServiceEntry(queue.service(), true, false)));
      return Optional.of(
          new Configuration(
              Long.parseLong(fields[0]),
              lines.size() == 1 ? List.of(DEFAULT_QUEUE) : queues,
              ImmutableMap.copyOf(services),
              RequestLimits.DEFAULT.withMaxBodyBytes(100_000)));
    }

    private Queue queue(String line) {
      String[] fields = line.split(" ", -1);
      return CellWorld.queue(fields[0], fields[1], fields[2], Integer.parseInt(fields[3]));
    }

    @Override
    public String workerTable() {
      return "workers";
    }

    @Override
    public Optional<WorkerEntry> worker(String key, ByteString value) {
      String[] fields = value.toStringUtf8().split(" ", -1);
      boolean draining = fields.length == 2;
      return Optional.of(
          new WorkerEntry(
              key,
              Long.parseLong(fields[0]),
              fields.length > 5 ? fields[5] : SERVICE,
              fields.length > 6 ? fields[6] : workerAddress(key),
              evacuations.zoneOf(key),
              draining,
              draining ? Long.parseLong(fields[1]) : 0,
              evacuations.coldLeftMillis(key),
              fields.length > 2 ? capacity(fields) : WORKER_CAPACITY,
              ImmutableSet.of("a", "r1")));
    }

    private ResourceAmounts capacity(String[] fields) {
      return new ResourceAmounts(
          Long.parseLong(fields[2]), Long.parseLong(fields[3]), Long.parseLong(fields[4]));
    }
  }
}
