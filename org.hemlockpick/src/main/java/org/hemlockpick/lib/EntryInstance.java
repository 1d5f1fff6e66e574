package org.hemlockpick.lib;

import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.batch.BatchModule;
import org.hemlockpick.internal.batch.ContractTaskQuota;
import org.hemlockpick.internal.contract.ContractSystem;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.evacuation.EvacuationSystem;
import org.hemlockpick.internal.evacuation.EvacuationTable;
import org.hemlockpick.internal.limit.LimitSystem;
import org.hemlockpick.internal.loop.BlobCalls;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.WorkerCalls;
import org.hemlockpick.internal.membership.MembershipSystem;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.internal.ownership.LeaseListener;
import org.hemlockpick.internal.ownership.OwnershipSystem;
import org.hemlockpick.internal.ownership.Worker;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.hemlockpick.internal.request.RequestModule;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.EvacuationRecord;
import org.hemlockpick.proto.EvacuationView;
import org.hemlockpick.proto.Heartbeat;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.JobSubmit;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.StatusQuery;
import org.hemlockpick.proto.StatusView;
import org.hemlockpick.proto.WorkerView;

/**
 * Runs the decision logic of one entry instance: takes typed inputs, runs the systems over the
 * tables in a fixed order and returns typed outputs.
 *
 * <p>Does no I/O, starts no thread and reads no clock but the one passed in. The same inputs at the
 * same times produce the same outputs. Not thread-safe.
 */
public final class EntryInstance {
  /** Time between the announcement of a planned stop and the first refusal, in milliseconds. */
  private static final long STOP_NOTICE_MILLIS = 1_500;

  /** Retry delay in the refusals of a starting or stopping entry instance, in milliseconds. */
  private static final long REFUSAL_RETRY_MILLIS = 500;

  /** Maximum time that a planned stop waits for the journal, in milliseconds. */
  private static final long STOP_JOURNAL_TIMEOUT_MILLIS = 10_000;

  private final InstanceSettings settings;
  private final InstantSource clock;
  private final Outbox outbox;
  private final StoreCalls store;
  private final BlobCalls blobs;
  private final WorkerCalls workerCalls;
  private final PeerTable peers;
  private final WorkerTable workers;
  private final MembershipSystem membership;
  private final ContractTable contracts = new ContractTable();
  private final ContractSystem contractSystem;
  private final EvacuationTable evacuations;
  private final EvacuationSystem evacuationSystem;
  private final LimitSystem limits;
  private final OwnershipSystem ownership;
  private final RequestModule requests;
  private final BatchModule batch;
  private final long startedAt;
  private long stopOrderedAt = -1;
  private boolean stopped;

  /**
   * Creates an entry instance with no state but its settings.
   *
   * @param settings settings of the entry instance
   * @param incarnation number of this start; greater than that of every earlier start under the
   *     same name
   * @param clock wall clock, in time since the epoch; the deadlines of jobs and the expiry times of
   *     keys are kept in the table service and compared with it
   * @param random source of random numbers
   */
  public EntryInstance(
      InstanceSettings settings, long incarnation, InstantSource clock, RandomGenerator random) {
    this.settings = settings;
    this.clock = clock;
    startedAt = clock.millis();
    outbox = new Outbox(settings, incarnation);
    outbox.beginTick(startedAt);
    store = new StoreCalls(outbox, settings.timing());
    blobs = new BlobCalls(outbox, settings.timing());
    workerCalls = new WorkerCalls(outbox);
    peers = new PeerTable(settings);
    workers = new WorkerTable(settings);
    membership = new MembershipSystem(settings, outbox, peers, this::heartbeat);
    contractSystem = new ContractSystem(settings, outbox, store, peers, contracts);
    evacuations = new EvacuationTable(outbox);
    evacuationSystem = new EvacuationSystem(settings, outbox, store, peers, evacuations);
    limits = new LimitSystem(settings, outbox, peers, contracts);
    ownership = new OwnershipSystem(settings, outbox, workerCalls, peers, workers);
    ownership.setReleaseNotice(membership::sendNow);
    ownership.addListener(new GrantNotice());
    requests =
        new RequestModule(
            settings,
            outbox,
            store,
            workerCalls,
            peers,
            workers,
            ownership,
            contracts,
            evacuations,
            limits,
            random);
    batch =
        new BatchModule(
            settings,
            outbox,
            store,
            blobs,
            workerCalls,
            peers,
            workers,
            ownership,
            contracts,
            evacuations,
            new ContractTaskQuota(limits),
            random);
  }

  /**
   * Handles inputs and runs one tick.
   *
   * @param inputs inputs since the last tick in the order of their arrival
   * @return outputs to carry out, in order
   */
  public List<Output> tick(List<Input> inputs) {
    long now = clock.millis();
    outbox.beginTick(now);
    for (Input input : inputs) {
      outbox.advanceClock(input.getClock());
      handle(input, now);
    }
    store.run(now);
    blobs.run(now);
    workerCalls.run(now);
    membership.run(now);
    contractSystem.run(now);
    evacuationSystem.run(now);
    limits.run(now);
    if (mayAcquireLeases(now)) {
      ownership.run(now);
    }
    requests.run(now);
    batch.run(now);
    runStop(now);
    return outbox.drain();
  }

  /** Returns whether this entry instance serves callers. */
  public boolean isReady() {
    return mayServe(outbox.now()) && stopOrderedAt < 0;
  }

  /** Returns whether the planned stop is complete. */
  public boolean isStopped() {
    return stopped;
  }

  /** Returns the status of this entry instance. */
  public StatusView status() {
    long now = outbox.now();
    StatusView.Builder status =
        StatusView.newBuilder()
            .setInstance(settings.name())
            .setIncarnation(outbox.incarnation())
            .setZone(settings.zone())
            .setReady(isReady())
            .setNotReadyReason(notReadyReason(now))
            .setStopping(stopOrderedAt >= 0)
            .setStopped(stopped)
            .setConfigVersion(contractSystem.version())
            .setStoreReachable(store.isReachable())
            .setRequestsInFlight(requests.openRequests())
            .setShardsHeld(batch.shardsHeld())
            .setTasksRunning(batch.tasksRunning());
    peers.alive(now).stream().map(Peer::name).forEach(status::addLivePeers);
    workers.all().stream().map(worker -> view(worker, now)).forEach(status::addWorkers);
    evacuations.evacuations().stream().map(e -> view(e, now)).forEach(status::addEvacuations);
    return status.build();
  }

  /** Returns whether this entry instance has learned the contracts and the evacuations. */
  private boolean mayServe(long now) {
    return contractSystem.isReady(now) && evacuationSystem.isReady(now);
  }

  private String notReadyReason(long now) {
    return contractSystem.isReady(now)
        ? evacuationSystem.notReadyReason()
        : contractSystem.notReadyReason();
  }

  private void handle(Input input, long now) {
    switch (input.getBodyCase()) {
      case CALLER_REQUEST -> onCallerRequest(input.getCallerRequest(), now);
      case CALLER_GONE -> requests.onCallerGone(input.getCallerGone().getExchange());
      case JOB_SUBMIT -> onJobSubmit(input.getJobSubmit(), now);
      case JOB_QUERY -> {
        if (!refuseUnlessServing(input.getJobQuery().getExchange(), now)) {
          batch.on(input.getJobQuery());
        }
      }
      case JOB_CANCEL -> {
        if (!refuseUnlessServing(input.getJobCancel().getExchange(), now)) {
          batch.on(input.getJobCancel());
        }
      }
      case CONTRACT_APPLY -> contractSystem.on(input.getContractApply());
      case CONTRACT_QUERY -> contractSystem.on(input.getContractQuery());
      case EVACUATION_CHANGE -> evacuationSystem.on(input.getEvacuationChange());
      case STATUS_QUERY -> onStatusQuery(input.getStatusQuery());
      case STOP_ORDER -> beginStop(now);
      case PEER_MESSAGE -> onPeerMessage(input.getPeerMessage());
      case WORKER_REPLY -> workerCalls.on(input.getWorkerReply());
      case STORE_REPLY -> store.on(input.getStoreReply());
      case BLOB_REPLY -> blobs.on(input.getBlobReply());
      case INSTANCE_LIST -> workers.update(input.getInstanceList(), now);
      case BODY_NOT_SET -> {
        // An input of a later version: ignored.
      }
    }
  }

  private void onCallerRequest(CallerRequest call, long now) {
    if (!refuseUnlessServing(call.getExchange(), now)) {
      requests.on(call);
    }
  }

  private void onJobSubmit(JobSubmit submit, long now) {
    if (!refuseUnlessServing(submit.getExchange(), now)) {
      batch.on(submit);
    }
  }

  /** Refuses a customer's call while this entry instance is starting or stopping. */
  private boolean refuseUnlessServing(long exchange, long now) {
    if (!mayServe(now)) {
      refuse(exchange, ResultCode.NOT_READY);
      return true;
    }
    if (stopOrderedAt >= 0 && now - stopOrderedAt >= STOP_NOTICE_MILLIS) {
      refuse(exchange, ResultCode.STOPPING);
      return true;
    }
    return false;
  }

  private void refuse(long exchange, ResultCode code) {
    outbox.answer(exchange, code, code.text(), REFUSAL_RETRY_MILLIS);
  }

  private void onPeerMessage(PeerMessage message) {
    if (!membership.on(message)) {
      return;
    }
    contractSystem.on(message);
    limits.on(message);
    requests.on(message);
    batch.on(message);
  }

  private void onStatusQuery(StatusQuery query) {
    outbox.answer(
        CallerAnswer.newBuilder()
            .setExchange(query.getExchange())
            .setCode(ResultCode.DONE.number())
            .setStatus(status()));
  }

  private Heartbeat heartbeat(boolean withinZone) {
    long now = outbox.now();
    Heartbeat.Builder heartbeat =
        Heartbeat.newBuilder()
            .setConfigVersion(contractSystem.version())
            .setLeaving(stopOrderedAt >= 0)
            .setReady(isReady())
            .setFreeSlots(requests.freeSlots(now))
            .setFreeBatchCpuMillis(batch.freeCpuMillis(now))
            .setSettledForwardsBelow(requests.settledForwardsBelow())
            .addAllEvacuations(evacuations.evacuations());
    if (withinZone) {
      heartbeat.addAllWorkers(ownership.ownedWorkers(now));
    }
    return heartbeat.build();
  }

  /**
   * Returns whether leases may be acquired: not before the peers of the availability zone had time
   * to be heard from.
   */
  private boolean mayAcquireLeases(long now) {
    boolean allPeersAlive = peers.aliveInZone(now).size() == settings.zonePeers().size();
    boolean waited = now - startedAt >= settings.timing().startWait().toMillis();
    return mayServe(now) && (allPeersAlive || waited);
  }

  private void beginStop(long now) {
    if (stopOrderedAt >= 0) {
      return;
    }
    stopOrderedAt = now;
    outbox.event("stop-begun", settings.name(), "");
    membership.sendNow();
  }

  private void runStop(long now) {
    if (stopOrderedAt < 0 || stopped || now - stopOrderedAt < STOP_NOTICE_MILLIS) {
      return;
    }
    ownership.stop();
    boolean settled = batch.isFlushed() && store.openCalls() == 0;
    boolean journalDone = settled || now - stopOrderedAt >= STOP_JOURNAL_TIMEOUT_MILLIS;
    if (requests.openRequests() == 0 && ownership.holdsNoLease(now) && journalDone) {
      stopped = true;
      outbox.event("stop-complete", settings.name(), "");
      outbox.stopped();
    }
  }

  private static WorkerView view(Worker worker, long now) {
    return WorkerView.newBuilder()
        .setWorker(worker.name())
        .setEpoch(worker.isHeld(now) ? worker.epoch() : 0)
        .setSlotsUsed(worker.slotsUsed())
        .setSlots(worker.capacity().getSlots())
        .setTasks(worker.tasks().size())
        .setLeaving(worker.isLeaving())
        .build();
  }

  /** Describes an evacuation, with the requests and tasks that still run there as known here. */
  private EvacuationView view(EvacuationRecord evacuation, long now) {
    String zone = evacuation.getZone();
    return EvacuationView.newBuilder()
        .setZone(zone)
        .setOperator(evacuation.getOperator())
        .setSinceMillis(evacuation.getAtMillis())
        .setRequests(requests.runningIn(zone, now))
        .setTasks(zone.equals(settings.zone()) ? batch.tasksRunning() : 0)
        .build();
  }

  /** Tells the peers of the slots of a worker whose lease was granted. */
  private final class GrantNotice implements LeaseListener {
    @Override
    public void granted(Worker worker) {
      membership.sendSoon();
    }
  }
}
