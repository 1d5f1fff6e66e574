package org.hemlockpick.cell;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.fakes.VirtualTime;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.TaskNote;
import org.jspecify.annotations.Nullable;

/** Entry instances with a table service and workers, in virtual time. */
final class CellWorld {
  static final String QUEUE = "topup";
  static final String SERVICE = "litepay";
  private static final long TICK_MILLIS = 10;
  private static final long START = 1_000_000;
  static final long LEASE_MILLIS = 5_000;
  private static final int MAX_ATTEMPTS = 50;
  static final ResourceAmounts ROOM = new ResourceAmounts(8_000, 32_000, 0);

  final VirtualTime time = new VirtualTime(START);
  final FakeStore store;
  final FakeWorkers workers;
  final List<Node> nodes = new ArrayList<>();
  final List<String> log = new ArrayList<>();
  private final Map<String, Submission> accepted = new LinkedHashMap<>();
  private final SplittableRandom random;
  private final long leaseMillis;
  private int incarnations;

  CellWorld(long seed, int nodeCount, int workerCount) {
    this(seed, nodeCount, workerCount, LEASE_MILLIS);
  }

  /**
   * Makes a world in which workers grant leases of another length.
   *
   * @param leaseMillis longest lease of a worker
   */
  CellWorld(long seed, int nodeCount, int workerCount, long leaseMillis) {
    this.leaseMillis = leaseMillis;
    random = new SplittableRandom(seed);
    store = new FakeStore(time, random.nextLong());
    workers = new FakeWorkers(time, random.nextLong(), leaseMillis);
    store.put("operator", "configuration", ByteString.copyFromUtf8("1"));
    for (int i = 0; i < workerCount; i++) {
      workers.add("w" + i);
      list("w" + i);
    }
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node("n" + i));
    }
  }

  /** Puts a worker into the platform's list. */
  void list(String worker) {
    String born = Long.toString(workers.get(worker).born());
    store.put("workers", worker, ByteString.copyFromUtf8(born));
  }

  static Step step(int count, Integer... dependsOn) {
    return step(count, false, null, 0, false, List.of(dependsOn));
  }

  /** Makes a step whose tasks run all together, or apart from each other. */
  static Step bound(int count, boolean gang, int maxPerWorker) {
    return step(count, gang, null, maxPerWorker, false, List.of());
  }

  /** Makes a step that binds where its tasks run, with whom, or for how long. */
  static Step step(
      int count,
      boolean gang,
      @Nullable String label,
      int maxPerWorker,
      boolean lasting,
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
        lasting,
        "image",
        0,
        false,
        null);
  }

  static Submission job(String id, long now, Step... steps) {
    return new Submission(id, QUEUE, "spec", List.of(steps), 0, 0, 0, now);
  }

  /** Hands a job in at a node, and again elsewhere until an answer is certain. */
  void submit(int node, String id, Step... steps) {
    submit(node, job(id, time.millis(), steps));
  }

  /** Hands any job in, in the same way. */
  void submit(int node, Submission job) {
    workers.expect(job);
    accepted.put(job.id(), job);
    attempt(node, job);
  }

  private void attempt(int index, Submission job) {
    Node node = nodes.get(index % nodes.size());
    CellMember process = node.process;
    if (process == null || node.isStill()) {
      time.after(200, () -> attempt(index + 1, job));
      return;
    }
    boolean[] answered = new boolean[1];
    process.submit(
        job,
        2_000,
        reply -> {
          answered[0] = true;
          if (reply.code() != ResultCode.DONE) {
            time.after(200, () -> attempt(index + 1, job));
          }
        });
    time.after(2_500, () -> attemptUnless(answered[0], index + 1, job));
  }

  /** A caller whose connection broke tries again elsewhere. */
  private void attemptUnless(boolean answered, int index, Submission job) {
    if (!answered) {
      attempt(index, job);
    }
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

  /** Asks a node that is up for the state of a job. */
  @Nullable JobState state(String id) {
    List<CallerReply> replies = new ArrayList<>();
    Node node =
        nodes.stream().filter(n -> n.process != null && !n.isStill()).findFirst().orElseThrow();
    CellMember process = node.process;
    if (process != null) {
      process.state(id, 1_000, replies::add);
    }
    time.runFor(1_200);
    return replies.isEmpty() ? null : replies.get(0).state();
  }

  /** Returns the jobs that were accepted and are not shown as completed. */
  List<String> unfinished() {
    List<String> open = new ArrayList<>();
    for (String id : accepted.keySet()) {
      JobState state = state(id);
      if (state != JobState.COMPLETED) {
        open.add(id + " " + state);
      }
    }
    return open;
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
    private Life life;
    private final List<Life> lives = new ArrayList<>();
    private int freezes;
    private long frozenSince;
    private long frozenMillis;

    Node(String name) {
      this.name = name;
      life = newLife(name + ":1");
      storeView = life.storeView;
      workerView = life.workerView;
      process = life.cell;
    }

    /** Starts a process at the address of the one before, which has ended. */
    void start() {
      use(newLife(life.address));
    }

    /** Starts a process while the one before lives on at its address, and returns the latter. */
    Life startBeside() {
      Life former = life;
      use(newLife(name + ":" + (lives.size() + 1)));
      return former;
    }

    private void use(Life newest) {
      life = newest;
      storeView = newest.storeView;
      workerView = newest.workerView;
      process = newest.cell;
    }

    private Life newLife(String address) {
      Life started = new Life(this, address, "i" + ++incarnations);
      lives.add(started);
      for (int i = 0; i < freezes; i++) {
        started.inbox.stop();
      }
      started.tick();
      return started;
    }

    /** Hands a job in and returns the time until the answer, in milliseconds. */
    long timeToAnswer(String id) {
      long begun = time.millis();
      long[] answeredAt = new long[1];
      Submission job = job(id, begun, step(1));
      workers.expect(job);
      process().submit(job, 3_000, reply -> answeredAt[0] = time.millis());
      time.runFor(3_000);
      return answeredAt[0] - begun;
    }

    /** Returns the process, which must be up. */
    CellMember process() {
      return Objects.requireNonNull(process);
    }

    /** Returns the newest process with its ways to the store and the workers. */
    Life life() {
      return life;
    }

    /** Tells whether the newest process stands still. */
    boolean isStill() {
      return life.inbox.isStopped();
    }

    /** Ends the newest process at once; nothing that it sent later arrives. */
    void kill() {
      process = null;
      life.kill();
    }

    /** Ends the newest process and those that still live beside it. */
    void killAll() {
      process = null;
      lives.forEach(Life::kill);
      lives.clear();
    }

    /** Stops the newest process as SIGSTOP does; both clocks go on. */
    void stop(long millis) {
      life.stop(millis);
    }

    /** Suspends the machine; its steady clock stands still meanwhile. */
    void freeze(long millis) {
      if (freezes++ == 0) {
        frozenSince = time.millis();
      }
      lives.forEach(each -> each.inbox.stop());
      time.after(millis, this::thaw);
    }

    private void thaw() {
      if (--freezes == 0) {
        frozenMillis += time.millis() - frozenSince;
      }
      List.copyOf(lives).forEach(Life::wake);
    }

    @Override
    public long monotonicMillis() {
      return (freezes > 0 ? frozenSince : time.millis()) - frozenMillis;
    }

    @Override
    public long wallMillis() {
      return time.millis() + wallAhead;
    }

    /** What its machine gives to the processes that are started from now on. */
    InstanceSize size = InstanceSize.AMPLE;

    /** Time by which the time of day is set ahead, in milliseconds. */
    long wallAhead;
  }

  /** Writes time, process, kind, subject, outcome, reason and the token if there is one. */
  private final class LifeLog implements DecisionLog {
    private final String name;
    private final long token;

    LifeLog(String name, long token) {
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
      return new LifeLog(name, newToken);
    }
  }

  /** One process of an entry instance. */
  final class Life {
    final Inbox inbox = new Inbox(time);
    final FakeStore.View storeView = store.view(inbox);
    final FakeWorkers.View workerView = workers.view(inbox);
    final CellMember cell;
    private final String address;
    private boolean ended;

    Life(Node node, String address, String incarnation) {
      this.address = address;
      cell =
          new CellMember(
              new CellSettings(
                  node.name, address, incarnation, "c0", leaseMillis, 200, 120_000, node.size),
              storeView,
              workerView,
              new Source(),
              node,
              new LifeLog(node.name + "/" + incarnation, 0),
              new SplittableRandom(random.nextLong()));
    }

    private void tick() {
      if (ended) {
        return;
      }
      if (!inbox.isStopped()) {
        cell.tick();
      }
      time.after(TICK_MILLIS, this::tick);
    }

    /** Stops the process as SIGSTOP does; both clocks go on. */
    void stop(long millis) {
      inbox.stop();
      time.after(millis, this::wake);
    }

    /**
     * Stops the process with the next start of a run that it decides on: the order and what follows
     * in the same tick is sent when it wakes, before any answer is read.
     */
    void stopBeforeSending(long millis) {
      workerView.beforeNextStart(
          () -> {
            workerView.hold();
            storeView.outbox.hold();
            inbox.stop();
            time.after(millis, this::sendAndWake);
          });
    }

    private void sendAndWake() {
      workerView.release();
      storeView.outbox.release();
      wake();
    }

    private void wake() {
      inbox.wake();
    }

    /** Ends the process at once; nothing that it sent later arrives. */
    void kill() {
      ended = true;
      storeView.cut = true;
      workerView.cut = true;
      storeView.outbox.close();
      workerView.outbox.close();
      inbox.close();
    }
  }

  /** Rows of the fakes: a configuration's version, and the time of a worker's start. */
  private static final class Source implements ConfigurationSource {
    @Override
    public String operatorTable() {
      return "operator";
    }

    @Override
    public String configurationKey() {
      return "configuration";
    }

    @Override
    public Optional<Configuration> configuration(ByteString value) {
      Queue queue = new Queue(QUEUE, "host", "/topup/", SERVICE, 0, MAX_ATTEMPTS, 2, 1_000, false);
      return Optional.of(
          new Configuration(
              Long.parseLong(value.toStringUtf8().strip()),
              List.of(queue),
              ImmutableMap.of(SERVICE, new ServiceEntry(SERVICE, true, false)),
              100_000));
    }

    @Override
    public String workerTable() {
      return "workers";
    }

    @Override
    public Optional<WorkerEntry> worker(String key, ByteString value) {
      return Optional.of(
          new WorkerEntry(
              key,
              Long.parseLong(value.toStringUtf8()),
              SERVICE,
              key + ":1",
              "zone-a",
              false,
              0,
              ROOM,
              ImmutableSet.of("a", "r1")));
    }
  }
}
