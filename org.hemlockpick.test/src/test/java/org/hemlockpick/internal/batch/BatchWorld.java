package org.hemlockpick.internal.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hemlockpick.contract.BatchTerms;
import org.hemlockpick.contract.Contract;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.contract.ContractTables;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.BlobReply;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.Event;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.InstanceList;
import org.hemlockpick.proto.InstanceRole;
import org.hemlockpick.proto.JobCancel;
import org.hemlockpick.proto.JobQuery;
import org.hemlockpick.proto.JobSpec;
import org.hemlockpick.proto.JobSubmit;
import org.hemlockpick.proto.JobView;
import org.hemlockpick.proto.ListedInstance;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.ShardRecord;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.TaskRecord;
import org.hemlockpick.proto.TaskState;

/** Runs entry instances, workers and a table service of one zone in virtual time. */
final class BatchWorld {
  static final String ZONE = "z1";
  static final String CUSTOMER = "fans";
  private static final String KEY = "digest";
  private static final int STEP_MILLIS = 20;

  final FakeStore store = new FakeStore();
  final RunLog log = new RunLog();
  final Map<String, FakeInstance> instances = new LinkedHashMap<>();
  final Map<String, FakeWorker> workers = new LinkedHashMap<>();
  final List<Event> events = new ArrayList<>();
  final List<String> unlisted = new ArrayList<>();

  /** Messages between entry instances that are lost. */
  Predicate<Output> lostMessages = output -> false;

  private final Map<Long, CallerAnswer> answers = new LinkedHashMap<>();
  private final ContractTable contracts =
      ContractTables.of(
          contract(CUSTOMER, new BatchTerms(10_000, 20_000, Duration.ofHours(8), true)),
          contract("lamps", new BatchTerms(10_000, 100, Duration.ofHours(8), false)));
  private final List<RosterMember> roster;
  private final long startedAt = 1_000_000;
  private long now = startedAt;
  private long lastExchange;
  private long lastIncarnation;

  BatchWorld(int instanceCount, int workerCount, int cpuMillis) {
    List<RosterMember> members = new ArrayList<>();
    for (int i = 1; i <= instanceCount; i++) {
      members.add(new RosterMember("e" + i, ZONE));
    }
    roster = List.copyOf(members);
    for (int i = 1; i <= workerCount; i++) {
      workers.put("w" + i, new FakeWorker("w" + i, cpuMillis, this::nowInstant, log));
    }
    roster.forEach(member -> start(member.name()));
    run(3_000);
  }

  private static Contract contract(String customer, BatchTerms terms) {
    return new Contract(customer, List.of(KEY), 10, 10, 1, Map.of(), terms);
  }

  private Instant nowInstant() {
    return Instant.ofEpochMilli(now);
  }

  long now() {
    return now;
  }

  FakeWorker worker(String name) {
    return Objects.requireNonNull(workers.get(name));
  }

  FakeInstance instance(String name) {
    return Objects.requireNonNull(instances.get(name));
  }

  /** Starts an entry instance, or replaces it by a new incarnation. */
  FakeInstance start(String name) {
    InstanceSettings settings = new InstanceSettings(name, ZONE, roster, Timing.defaults());
    FakeInstance instance = new FakeInstance(settings, ++lastIncarnation, contracts, now);
    instances.put(name, instance);
    instance.inputs.add(Input.newBuilder().setInstanceList(list()).build());
    return instance;
  }

  /** Kills an entry instance without a handover. */
  void kill(String name) {
    instances.remove(name);
  }

  /** Adds a worker and sends the new instance list. */
  FakeWorker addWorker(String name, int cpuMillis) {
    FakeWorker worker = new FakeWorker(name, cpuMillis, this::nowInstant, log);
    workers.put(name, worker);
    list(list());
    return worker;
  }

  /** Removes a worker from the instance list; its process, if any, keeps running. */
  void unlist(String name) {
    unlisted.add(name);
    list(list());
  }

  void run(long millis) {
    for (long end = now + millis; now < end; ) {
      step();
    }
  }

  /** Runs until a condition holds; fails after the given virtual time. */
  void until(String what, long millis, BooleanSupplier condition) {
    for (long end = now + millis; !condition.getAsBoolean(); ) {
      assertTrue(now < end, () -> what + " within " + millis + " ms; " + state());
      step();
    }
  }

  void step() {
    now += STEP_MILLIS;
    workers.values().forEach(FakeWorker::step);
    for (FakeInstance instance : List.copyOf(instances.values())) {
      if (!instance.paused) {
        boolean mayOwn = now - startedAt >= 1_000;
        instance.tick(now, mayOwn).forEach(output -> deliver(instance, output));
      }
    }
    log.check(workers.values());
    assertEquals(List.of(), log.faults);
  }

  String submit(JobSpec spec) {
    return view(answer(sendSubmit("e1", CUSTOMER, "", spec))).getJob();
  }

  long sendSubmit(String instance, String customer, String submissionKey, JobSpec spec) {
    JobSubmit.Builder submit =
        JobSubmit.newBuilder()
            .setExchange(++lastExchange)
            .setCustomer(customer)
            .setKeyDigest(KEY)
            .setSubmissionKey(submissionKey)
            .setSpec(spec);
    send(instance, Input.newBuilder().setJobSubmit(submit).build());
    return lastExchange;
  }

  long sendCancel(String instance, String customer, String job) {
    JobCancel.Builder cancel =
        JobCancel.newBuilder()
            .setExchange(++lastExchange)
            .setCustomer(customer)
            .setKeyDigest(KEY)
            .setJob(job);
    send(instance, Input.newBuilder().setJobCancel(cancel).build());
    return lastExchange;
  }

  long sendQuery(String instance, String customer, String job) {
    JobQuery.Builder query =
        JobQuery.newBuilder()
            .setExchange(++lastExchange)
            .setCustomer(customer)
            .setKeyDigest(KEY)
            .setJob(job);
    send(instance, Input.newBuilder().setJobQuery(query).build());
    return lastExchange;
  }

  /** Returns the customer's view of a job, queried at a live entry instance. */
  JobView query(String job) {
    String instance = instances.keySet().iterator().next();
    return view(answer(sendQuery(instance, CUSTOMER, job)));
  }

  void untilState(String job, String state, long millis) {
    long end = now + millis;
    while (!query(job).getState().equals(state)) {
      assertTrue(now < end, () -> job + " " + state + " within " + millis + " ms; " + state());
      run(200);
    }
  }

  CallerAnswer answer(long exchange) {
    until("answer " + exchange, 20_000, () -> answers.containsKey(exchange));
    return Objects.requireNonNull(answers.get(exchange));
  }

  ResultCode code(long exchange) {
    return ResultCode.of(answer(exchange).getCode());
  }

  private static JobView view(CallerAnswer answer) {
    assertEquals(ResultCode.DONE, ResultCode.of(answer.getCode()), answer::getDetail);
    return answer.getJob();
  }

  /** Returns the tasks in the stored rows of all unfinished shards. */
  List<TaskRecord> rows() {
    return shardRows().stream().flatMap(shard -> shard.getTasksList().stream()).toList();
  }

  List<ShardRecord> shardRows() {
    RowScan scan = RowScan.newBuilder().setTable(TableNames.SHARDS).setLimit(10_000).build();
    return store.table.handle(StoreCall.newBuilder().setScan(scan).build()).getRowsList().stream()
        .map(BatchRows::shard)
        .toList();
  }

  /** Returns the number of done tasks in the unfinished shards of a job. */
  long done(String job) {
    return shardRows().stream()
        .filter(shard -> shard.getJob().equals(job))
        .flatMap(shard -> shard.getTasksList().stream())
        .filter(task -> task.getState() == TaskState.DONE)
        .count();
  }

  int runningTasks() {
    return workers.values().stream().mapToInt(worker -> worker.running().size()).sum();
  }

  boolean hasEvent(String kind, String subject) {
    return events.stream()
        .anyMatch(event -> event.getKind().equals(kind) && event.getSubject().equals(subject));
  }

  /** Returns the entry instance that owns a worker now. */
  FakeInstance owner(String worker) {
    return instances.values().stream()
        .filter(
            instance ->
                instance.ownership.ownedWorkers(now).stream()
                    .anyMatch(owned -> owned.getWorker().equals(worker)))
        .findFirst()
        .orElseThrow();
  }

  static JobSpec spec(int tasks, int cpuMillis) {
    return JobSpec.newBuilder()
        .setName("ribs")
        .setTaskCount(tasks)
        .setKind("rib")
        .setCpuMillis(cpuMillis)
        .setMemoryMb(1)
        .build();
  }

  private String state() {
    StringBuilder text = new StringBuilder("starts " + log.starts());
    for (ShardRecord shard : shardRows()) {
      text.append("; shard ").append(shard.getShard());
      text.append(" of ").append(shard.getHolder()).append('/');
      text.append(shard.getHolderIncarnation());
      Map<String, Long> counts =
          shard.getTasksList().stream()
              .collect(
                  Collectors.groupingBy(
                      task -> task.getState() + " " + task.getBoot() + " n" + task.getAttempt(),
                      Collectors.counting()));
      text.append(' ').append(counts);
    }
    return text.toString();
  }

  private void send(String instance, Input input) {
    FakeInstance receiver = instances.get(instance);
    if (receiver != null) {
      receiver.inputs.add(input);
    }
  }

  private void deliver(FakeInstance from, Output output) {
    switch (output.getBodyCase()) {
      case CALLER_ANSWER ->
          answers.put(output.getCallerAnswer().getExchange(), output.getCallerAnswer());
      case PEER_MESSAGE -> {
        if (!lostMessages.test(output)) {
          send(
              output.getPeerMessage().getTo(),
              Input.newBuilder().setPeerMessage(output.getPeerMessage()).build());
        }
      }
      case WORKER_CALL -> {
        FakeWorker worker = workers.get(output.getWorkerCall().getWorker());
        if (worker != null) {
          worker
              .handle(output.getWorkerCall())
              .ifPresent(r -> from.inputs.add(Input.newBuilder().setWorkerReply(r).build()));
        }
      }
      case STORE_CALL ->
          store
              .handle(output.getStoreCall())
              .ifPresent(r -> from.inputs.add(Input.newBuilder().setStoreReply(r).build()));
      case BLOB_CALL -> {
        BlobReply.Builder reply =
            BlobReply.newBuilder().setCallId(output.getBlobCall().getCallId()).setOk(true);
        from.inputs.add(Input.newBuilder().setBlobReply(reply).build());
      }
      case EVENT -> events.add(output.getEvent());
      default -> {
        // Nothing to deliver.
      }
    }
  }

  private void list(InstanceList list) {
    Input input = Input.newBuilder().setInstanceList(list).build();
    instances.values().forEach(instance -> instance.inputs.add(input));
  }

  private InstanceList list() {
    InstanceList.Builder list = InstanceList.newBuilder();
    for (String worker : workers.keySet()) {
      if (!unlisted.contains(worker)) {
        list.addInstances(
            ListedInstance.newBuilder()
                .setName(worker)
                .setZone(ZONE)
                .setRole(InstanceRole.WORKER)
                .setAddress(worker));
      }
    }
    return list.build();
  }
}
