package org.hemlockpick.capacity;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import org.hemlockpick.fakes.VirtualTime;
import org.hemlockpick.lib.EntryInstance;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.BlobReply;
import org.hemlockpick.proto.CallFate;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.Capacity;
import org.hemlockpick.proto.ContractApply;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.InstanceList;
import org.hemlockpick.proto.InstanceRole;
import org.hemlockpick.proto.JobSpec;
import org.hemlockpick.proto.JobSubmit;
import org.hemlockpick.proto.ListedInstance;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.RequestCall;
import org.hemlockpick.proto.RequestResult;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.Transaction;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;
import org.hemlockpick.standin.TableModel;
import org.hemlockpick.standin.WorkerModel;

/**
 * Runs one availability zone of three entry instances in virtual time, without faults. Every reply
 * arrives with the next tick. The entry instances of other zones only send heartbeats.
 */
final class Zone {
  static final int ENTRIES = 3;
  static final int TICK_MILLIS = 20;
  private static final long START_MILLIS = 1_780_000_000_000L;
  private static final long LIST_MILLIS = 5_000;
  private static final int TASK_CPU_MILLIS = 10;
  private static final int TASKS_PER_JOB = 16;

  /** Prime factor that spreads the run times of tasks. */
  private static final long TASK_TIME_SPREAD = 7_919;

  private static final int BODY_BYTES = 1_024;

  private record Completion(long at, Runnable action) {}

  final List<Node> nodes = new ArrayList<>();
  private final Population population;
  private final VirtualTime time = new VirtualTime(START_MILLIS);
  private final List<RosterMember> remote = new ArrayList<>();
  private final Map<String, WorkerModel> workers = new LinkedHashMap<>();
  private final TableModel table = new TableModel();
  private final Map<String, ByteString> objects = new HashMap<>();
  private final PriorityQueue<Completion> completions =
      new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
  private final InstanceList list;
  private final long taskMillis;
  private final long requestMillis;
  private long lastExchange;
  private long starts;

  /**
   * Starts a zone and waits until its load is running.
   *
   * @param taskMillis mean run time of a task; 0 if tasks never complete
   * @param requestMillis service time of a request; 0 if requests never complete
   */
  Zone(Population population, long taskMillis, long requestMillis) {
    this.population = population;
    this.taskMillis = taskMillis;
    this.requestMillis = requestMillis;
    seedContracts();
    for (int i = 0; i < population.remotePeers(); i++) {
      String zone = Names.remoteZone(i / ENTRIES);
      remote.add(new RosterMember(zone + "-entry" + i % ENTRIES, zone));
    }
    Capacity capacity =
        Capacity.newBuilder()
            .setSlots(64)
            .setConnections(64)
            .setCpuMillis(1_000_000)
            .setMemoryMb(1_000_000)
            .setAccelerators(4)
            .build();
    for (int i = 0; i < population.workers(); i++) {
      String name = Names.worker(i);
      workers.put(
          name, new WorkerModel(name, capacity, time, name + "-" + START_MILLIS, START_MILLIS));
    }
    list = list(population.workers());
    startEntries();
    run(15_000);
    populate();
  }

  Node first() {
    return nodes.get(0);
  }

  /** Returns the number of tasks started on workers. */
  long starts() {
    return starts;
  }

  void run(long millis) {
    for (long end = time.millis() + millis; time.millis() < end; ) {
      step();
    }
  }

  void resetMeasurements() {
    nodes.forEach(Node::resetMeasurements);
    starts = 0;
  }

  /** Submits a job at one of the entry instances. */
  void submit(int tasks) {
    int customer = (int) (lastExchange % population.customers());
    JobSpec.Builder spec =
        JobSpec.newBuilder()
            .setName("rib-spacing-sweep")
            .setTaskCount(tasks)
            .setKind("rib-spacing")
            .setCpuMillis(TASK_CPU_MILLIS)
            .setMemoryMb(TASK_CPU_MILLIS)
            .setDeclaredRunMillis(60_000);
    JobSubmit.Builder submit =
        JobSubmit.newBuilder()
            .setExchange(++lastExchange)
            .setCustomer(Names.customer(customer))
            .setKeyDigest(Names.KEY_DIGEST)
            .setSubmissionKey("submission-" + lastExchange)
            .setSpec(spec);
    nodes.get((int) (lastExchange % ENTRIES)).receive(Input.newBuilder().setJobSubmit(submit));
  }

  /** Sends a request to an entry instance. */
  void request(Node node, boolean idempotent) {
    CallerRequest.Builder request =
        CallerRequest.newBuilder()
            .setExchange(++lastExchange)
            .setCustomer(Names.customer(0))
            .setKeyDigest(Names.KEY_DIGEST)
            .setService(Names.SERVICE)
            .setIdempotent(idempotent)
            .setIdempotencyKey(idempotent ? "" : "4f0c2d55-7a1e-4b0f-" + lastExchange)
            .setBody(ByteString.copyFrom(new byte[BODY_BYTES]));
    node.receive(Input.newBuilder().setCallerRequest(request));
  }

  /** Applies a new text of a contract. */
  void apply(int customer, long baseRevision) {
    ContractApply.Builder apply =
        ContractApply.newBuilder()
            .setExchange(++lastExchange)
            .setOperator("operator")
            .setCustomer(Names.customer(customer))
            .setBaseRevision(baseRevision)
            .setText(Names.contract(customer));
    first().receive(Input.newBuilder().setContractApply(apply));
  }

  private void seedContracts() {
    for (int i = 0; i < population.revisions(); i++) {
      int customer = i % population.customers();
      ContractRecord record =
          ContractRecord.newBuilder()
              .setVersion(i + 1)
              .setCustomer(Names.customer(customer))
              .setText(Names.contract(customer))
              .setOperator("operator")
              .setWriteId(Names.entry(0) + "-1000000-" + i)
              .build();
      RowWrite.Builder write =
          RowWrite.newBuilder()
              .setTable("config")
              .setKey(String.format("%020d", i + 1))
              .setValue(record.toByteString());
      table.handle(
          StoreCall.newBuilder().setTransaction(Transaction.newBuilder().addWrites(write)).build());
    }
  }

  private void startEntries() {
    List<RosterMember> roster = new ArrayList<>(remote);
    for (int i = 0; i < ENTRIES; i++) {
      roster.add(new RosterMember(Names.entry(i), Names.ZONE));
    }
    for (int i = 0; i < ENTRIES; i++) {
      InstanceSettings settings =
          new InstanceSettings(Names.entry(i), Names.ZONE, roster, Timing.defaults());
      nodes.add(
          new Node(
              settings.name(), new EntryInstance(settings, START_MILLIS, time, new Random(i))));
    }
  }

  private void populate() {
    for (int left = population.tasks(); left > 0; left -= TASKS_PER_JOB) {
      submit(Math.min(left, TASKS_PER_JOB));
      step();
    }
    for (int i = 0; i < population.requests(); i++) {
      request(first(), false);
    }
    run(10_000);
  }

  private void step() {
    time.runFor(TICK_MILLIS);
    while (!completions.isEmpty() && completions.element().at() <= time.millis()) {
      completions.remove().action().run();
    }
    sendRemoteHeartbeats();
    if (time.millis() % LIST_MILLIS == 0) {
      nodes.forEach(node -> node.receive(Input.newBuilder().setInstanceList(list)));
    }
    for (Node node : nodes) {
      node.tick().forEach(output -> carryOut(node, output));
    }
  }

  /** Delivers the heartbeats of other zones, spread over their interval. */
  private void sendRemoteHeartbeats() {
    int slots = 2_000 / TICK_MILLIS;
    int slot = (int) (time.millis() / TICK_MILLIS % slots);
    for (int i = slot; i < remote.size(); i += slots) {
      RosterMember member = remote.get(i);
      for (Node node : nodes) {
        node.receive(
            Input.newBuilder()
                .setPeerMessage(TypicalMessages.remoteHeartbeat(member, node.name, version())));
      }
    }
  }

  private long version() {
    return population.revisions();
  }

  private void carryOut(Node node, Output output) {
    switch (output.getBodyCase()) {
      case PEER_MESSAGE -> toPeer(output.getPeerMessage());
      case WORKER_CALL -> toWorker(node, copy(output.getWorkerCall()));
      case STORE_CALL ->
          node.receive(Input.newBuilder().setStoreReply(table.handle(output.getStoreCall())));
      case BLOB_CALL -> toObjects(node, output);
      default -> {
        // Answers and events leave the zone.
      }
    }
  }

  /** Returns a copy of a call, which shares no memory with its sender, as from the network. */
  private static WorkerCall copy(WorkerCall call) {
    try {
      return WorkerCall.parseFrom(call.toByteArray());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("an encoded call cannot be decoded", e);
    }
  }

  private void toPeer(PeerMessage message) {
    for (Node node : nodes) {
      if (node.name.equals(message.getTo())) {
        node.receive(Input.newBuilder().setClock(message.getClock()).setPeerMessage(message));
      }
    }
  }

  private void toObjects(Node node, Output output) {
    BlobReply.Builder reply =
        BlobReply.newBuilder().setCallId(output.getBlobCall().getCallId()).setOk(true);
    if (output.getBlobCall().hasPut()) {
      objects.put(output.getBlobCall().getPut().getKey(), output.getBlobCall().getPut().getValue());
    } else {
      ByteString value = objects.get(output.getBlobCall().getGet().getKey());
      reply.setFound(value != null).setValue(value == null ? ByteString.EMPTY : value);
    }
    node.receive(Input.newBuilder().setBlobReply(reply));
  }

  private void toWorker(Node node, WorkerCall call) {
    WorkerModel worker = Objects.requireNonNull(workers.get(call.getWorker()));
    WorkerReply.Builder reply =
        WorkerReply.newBuilder()
            .setCallId(call.getCallId())
            .setWorker(call.getWorker())
            .setFate(CallFate.ANSWERED);
    switch (call.getBodyCase()) {
      case LEASE -> reply.setLease(worker.lease(call.getLease()));
      case TASK_START -> {
        starts++;
        reply.setTask(worker.start(call.getTaskStart()));
        scheduleCompletion(worker, call);
      }
      case TASK_STOP -> reply.setTask(worker.stop(call.getTaskStop()));
      case TASK_THROTTLE -> reply.setTask(worker.throttle(call.getTaskThrottle()));
      case REQUEST -> {
        offer(node, worker, call.getRequest(), reply);
        return;
      }
      case BODY_NOT_SET -> throw new IllegalStateException("a call to a worker is empty");
    }
    node.receive(Input.newBuilder().setWorkerReply(reply));
  }

  private void scheduleCompletion(WorkerModel worker, WorkerCall call) {
    if (taskMillis > 0) {
      completions.add(
          new Completion(
              time.millis() + taskMillis / 2 + starts * TASK_TIME_SPREAD % taskMillis,
              () ->
                  worker.finishTask(
                      call.getTaskStart().getTask(),
                      TaskPhase.TASK_DONE,
                      ByteString.copyFromUtf8("0.42"))));
    }
  }

  private void offer(Node node, WorkerModel worker, RequestCall call, WorkerReply.Builder reply) {
    if (worker.offer(call).isPresent()) {
      throw new IllegalStateException("a worker refused a request");
    }
    if (requestMillis > 0) {
      completions.add(
          new Completion(
              time.millis() + requestMillis,
              () ->
                  node.receive(
                      Input.newBuilder()
                          .setWorkerReply(
                              reply.setRequest(
                                  worker.finish(
                                      call, RequestResult.REQUEST_DONE, call.getBody()))))));
    }
  }

  /** Returns a complete instance list of the given size. */
  static InstanceList list(int instances) {
    InstanceList.Builder all = InstanceList.newBuilder();
    for (int i = 0; i < instances; i++) {
      all.addInstances(
          ListedInstance.newBuilder()
              .setName(Names.worker(i))
              .setZone(Names.ZONE)
              .setRole(InstanceRole.WORKER)
              .setAddress(Names.address(i))
              .setRack("rack" + i % 9));
    }
    return all.build();
  }
}
