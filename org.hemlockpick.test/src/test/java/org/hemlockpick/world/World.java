package org.hemlockpick.world;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.hemlockpick.fakes.VirtualTime;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.BlobReply;
import org.hemlockpick.proto.CallFate;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.Event;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.InstanceList;
import org.hemlockpick.proto.InstanceRole;
import org.hemlockpick.proto.ListedInstance;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;
import org.hemlockpick.standin.TableModel;

/**
 * Connects entry instances, workers and a platform in virtual time. Messages can be delayed, lost,
 * duplicated and reordered; processes can die, pause and restart; network paths can be cut.
 */
final class World {
  private static final long START_MILLIS = 1_000_000;
  private static final long LIST_INTERVAL_MILLIS = 1_000;
  private static final long LIST_LAG_MILLIS = 2_000;
  private static final int EVENTS_KEPT = 400;

  /** Grace for new work to a worker after the list showed the entry instance that it leaves. */
  static final long LEAVING_BOUND_MILLIS = 1_000;

  final VirtualTime time = new VirtualTime(START_MILLIS);
  final Conditions conditions;
  final Oracle oracle = new Oracle();
  final Map<String, EntryNode> entries = new LinkedHashMap<>();
  final Map<String, WorkerNode> workers = new LinkedHashMap<>();
  final TableModel table = new TableModel();

  /** Body of requests that break the connection on which they arrive; empty for none. */
  ByteString breakingBody = ByteString.EMPTY;

  /** Number of connections that such requests break yet. */
  int breaksLeft = Integer.MAX_VALUE;

  /** Workers whose connection was broken, in the order of time. */
  final List<String> brokenWorkers = new ArrayList<>();

  private final Map<String, ByteString> objects = new HashMap<>();
  private final Deque<Event> events = new ArrayDeque<>();
  private final List<CallerAnswer> otherAnswers = new ArrayList<>();

  World(long seed, int zones, int entriesPerZone, int workersPerZone) {
    conditions = new Conditions(seed);
    List<RosterMember> roster = new ArrayList<>();
    for (int z = 0; z < zones; z++) {
      for (int i = 0; i < entriesPerZone; i++) {
        roster.add(new RosterMember("zone" + z + "-" + i, "zone" + z));
      }
      for (int w = 0; w < workersPerZone; w++) {
        String name = "worker" + z + "-" + w;
        workers.put(name, new WorkerNode(name, "zone" + z, time, conditions, oracle));
      }
    }
    for (RosterMember member : roster) {
      InstanceSettings settings =
          new InstanceSettings(member.name(), member.zone(), roster, Timing.defaults());
      entries.put(member.name(), new EntryNode(settings, time, conditions, oracle, this::carryOut));
    }
    sendLists();
  }

  /** Returns the newest timeline events, oldest first. */
  List<String> newestEvents() {
    List<String> lines = new ArrayList<>();
    for (Event event : events) {
      lines.add(
          event.getInstance()
              + " "
              + event.getAtMillis()
              + " "
              + event.getKind()
              + " "
              + event.getSubject()
              + " "
              + event.getDetail());
    }
    return lines;
  }

  /** Returns the answers to operators and jobs, whose exchanges the oracle does not track. */
  List<CallerAnswer> otherAnswers() {
    return otherAnswers;
  }

  EntryNode entry(String name) {
    return Objects.requireNonNull(entries.get(name));
  }

  WorkerNode worker(String name) {
    return Objects.requireNonNull(workers.get(name));
  }

  /** Returns all entry instances of an availability zone. */
  List<EntryNode> entriesOf(String zone) {
    return entries.values().stream().filter(node -> node.zone.equals(zone)).toList();
  }

  /** Returns the names of the live entry instances that hold the lease of a worker. */
  List<String> holders(String worker) {
    return entries.values().stream()
        .filter(node -> !node.dead && node.holds(worker))
        .map(node -> node.name)
        .toList();
  }

  /** Returns the version of the newest change of a customer's contract in the table service. */
  long revisionOf(String customer) {
    RowScan scan = RowScan.newBuilder().setTable("config").setLimit(10_000).build();
    long newest = 0;
    for (Row row : table.handle(StoreCall.newBuilder().setScan(scan).build()).getRowsList()) {
      ContractRecord record = parseContract(row);
      if (record.getCustomer().equals(customer)) {
        newest = record.getVersion();
      }
    }
    return newest;
  }

  private static ContractRecord parseContract(Row row) {
    try {
      return ContractRecord.parseFrom(row.getValue());
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError(row.getKey(), e);
    }
  }

  /** Returns the answer to an exchange that the oracle does not track. */
  Optional<CallerAnswer> answer(long exchange) {
    return otherAnswers.stream().filter(a -> a.getExchange() == exchange).findFirst();
  }

  /** Returns the keys of the shards in the table service that have unfinished tasks. */
  List<String> openShards() {
    RowScan scan = RowScan.newBuilder().setTable("shards").setLimit(1_000).build();
    return table.handle(StoreCall.newBuilder().setScan(scan).build()).getRowsList().stream()
        .map(Row::getKey)
        .toList();
  }

  /** Runs until a condition holds or the limit passes; returns the elapsed milliseconds. */
  long await(BooleanSupplier condition, long limitMillis) {
    long start = time.millis();
    while (!condition.getAsBoolean() && time.millis() - start < limitMillis) {
      time.runFor(10);
    }
    return time.millis() - start;
  }

  void input(EntryNode node, Input.Builder input) {
    node.receive(input.build(), node.starts());
  }

  private void carryOut(EntryNode node, Output output) {
    switch (output.getBodyCase()) {
      case WORKER_CALL -> callWorker(node, output.getWorkerCall());
      case STORE_CALL -> callStore(node, output.getStoreCall());
      case BLOB_CALL -> callObjects(node, output.getBlobCall());
      case PEER_MESSAGE -> sendToPeer(node, output.getPeerMessage());
      case CALLER_ANSWER -> onAnswer(output.getCallerAnswer());
      case WORKER_RESET -> worker(output.getWorkerReset().getWorker()).silentFor.remove(node.name);
      case EVENT -> recordEvent(output.getEvent());
      case STOPPED, BODY_NOT_SET -> {
        // EntryNode.isStopped reports the stop.
      }
    }
  }

  private void onAnswer(CallerAnswer answer) {
    if (oracle.exchange(answer.getExchange()) == null) {
      otherAnswers.add(answer);
    } else {
      oracle.answered(answer);
    }
  }

  private void recordEvent(Event event) {
    events.addLast(event);
    if (events.size() > EVENTS_KEPT) {
      events.removeFirst();
    }
  }

  private void callWorker(EntryNode node, WorkerCall call) {
    WorkerNode worker = worker(call.getWorker());
    worker.calls++;
    if (call.getFreshConnection()) {
      worker.silentFor.remove(node.name);
    }
    checkLeaving(node, worker, call);
    int start = node.starts();
    if (worker.dead && conditions.chance(0.5)) {
      WorkerReply refused =
          WorkerReply.newBuilder()
              .setCallId(call.getCallId())
              .setWorker(worker.name)
              .setFate(CallFate.NOT_SENT)
              .build();
      deliver(node, start, 1, Input.newBuilder().setWorkerReply(refused));
      return;
    }
    if (call.hasRequest() && call.getRequest().getBody().equals(breakingBody) && breaksLeft > 0) {
      breakConnection(node, worker, call);
      return;
    }
    boolean silent = worker.silentFor.contains(node.name);
    if (silent || conditions.losesWorkerMessage()) {
      return;
    }
    time.after(
        conditions.workerDelay(),
        () -> worker.handle(call, reply -> answer(node, start, worker, reply)));
    if (conditions.duplicatesMessage()) {
      time.after(200 + conditions.workerDelay(), () -> worker.handle(call, reply -> {}));
    }
  }

  private void breakConnection(EntryNode node, WorkerNode worker, WorkerCall call) {
    breaksLeft--;
    brokenWorkers.add(worker.name);
    WorkerReply lost =
        WorkerReply.newBuilder()
            .setCallId(call.getCallId())
            .setWorker(worker.name)
            .setFate(CallFate.LOST)
            .build();
    deliver(node, node.starts(), conditions.workerDelay(), Input.newBuilder().setWorkerReply(lost));
  }

  private void answer(EntryNode node, int start, WorkerNode worker, WorkerReply reply) {
    if (worker.silentFor.contains(node.name) || conditions.losesWorkerMessage()) {
      return;
    }
    deliver(node, start, conditions.workerDelay(), Input.newBuilder().setWorkerReply(reply));
  }

  private void checkLeaving(EntryNode node, WorkerNode worker, WorkerCall call) {
    boolean newWork = call.hasRequest() || call.hasTaskStart();
    Long shownAt = worker.shownLeavingAt.get(node.name);
    if (newWork && shownAt != null) {
      oracle.sentToLeaving(worker.name, time.millis() - shownAt, LEAVING_BOUND_MILLIS);
    }
  }

  private void callStore(EntryNode node, StoreCall call) {
    int start = node.starts();
    if (conditions.storeDown || !conditions.canReachPlatform(node.zone)) {
      return;
    }
    time.after(
        conditions.storeDelay(),
        () -> {
          StoreReply reply = table.handle(injectFault(call));
          boolean lost = conditions.storeLosesAnswers && conditions.chance(0.5);
          if (!lost && conditions.canReachPlatform(node.zone)) {
            deliver(node, start, conditions.storeDelay(), Input.newBuilder().setStoreReply(reply));
          }
        });
  }

  private StoreCall injectFault(StoreCall call) {
    if (!call.hasTransaction()) {
      return call;
    }
    StoreCall.Builder falsified = call.toBuilder();
    for (RowWrite.Builder write : falsified.getTransactionBuilder().getWritesBuilderList()) {
      boolean ignored = conditions.seededFault == SeededFault.STORE_IGNORES_VERSIONS;
      if (ignored && write.getTable().equals("keys")) {
        write.setExpectedVersion(table.version(write.getTable(), write.getKey()));
      }
    }
    return falsified.build();
  }

  private void callObjects(EntryNode node, BlobCall call) {
    int start = node.starts();
    if (conditions.storeDown || !conditions.canReachPlatform(node.zone)) {
      return;
    }
    BlobReply.Builder reply = BlobReply.newBuilder().setCallId(call.getCallId()).setOk(true);
    if (call.hasPut()) {
      objects.put(call.getPut().getKey(), call.getPut().getValue());
    } else {
      ByteString value = objects.get(call.getGet().getKey());
      reply.setFound(value != null).setValue(value == null ? ByteString.EMPTY : value);
    }
    deliver(node, start, conditions.storeDelay(), Input.newBuilder().setBlobReply(reply));
  }

  private void sendToPeer(EntryNode node, PeerMessage message) {
    EntryNode peer = entries.get(message.getTo());
    if (peer == null
        || !conditions.canReach(node.zone, peer.zone)
        || conditions.losesPeerMessage()) {
      return;
    }
    int copies = conditions.duplicatesMessage() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      time.after(
          conditions.peerDelay(node.zone, peer.zone),
          () ->
              peer.receive(
                  Input.newBuilder().setClock(message.getClock()).setPeerMessage(message).build(),
                  peer.starts()));
    }
  }

  private void deliver(EntryNode node, int start, long delay, Input.Builder input) {
    time.after(delay, () -> node.receive(input.build(), start));
  }

  private void sendLists() {
    InstanceList list = list();
    time.after(
        LIST_LAG_MILLIS,
        () -> {
          for (EntryNode node : entries.values()) {
            if (!conditions.storeDown && conditions.canReachPlatform(node.zone)) {
              input(node, Input.newBuilder().setInstanceList(list));
              recordShownLeaving(node, list);
            }
          }
        });
    time.after(LIST_INTERVAL_MILLIS, this::sendLists);
  }

  private void recordShownLeaving(EntryNode node, InstanceList list) {
    for (ListedInstance listed : list.getInstancesList()) {
      WorkerNode worker = worker(listed.getName());
      if (listed.getLeaving() && worker.leavingSince >= 0) {
        worker.shownLeavingAt.putIfAbsent(node.name, time.millis());
      }
    }
  }

  private InstanceList list() {
    InstanceList.Builder list = InstanceList.newBuilder();
    for (WorkerNode worker : workers.values()) {
      if (worker.listed) {
        list.addInstances(
            ListedInstance.newBuilder()
                .setName(worker.name)
                .setZone(worker.zone)
                .setRole(InstanceRole.WORKER)
                .setAddress(worker.name + ":1")
                .setLeaving(worker.leavingSince >= 0));
      }
    }
    return list.build();
  }
}
