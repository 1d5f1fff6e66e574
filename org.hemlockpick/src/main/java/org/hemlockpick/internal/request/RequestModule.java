package org.hemlockpick.internal.request;

import java.util.random.RandomGenerator;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.evacuation.EvacuationTable;
import org.hemlockpick.internal.limit.LimitSystem;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.WorkerCalls;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.internal.ownership.OwnershipSystem;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.KeyRecord;
import org.hemlockpick.proto.PeerMessage;

/** Wires the systems for latency-critical requests and runs them in a fixed order. */
public final class RequestModule implements LoopSystem {
  private final RequestTable requests = new RequestTable();
  private final IdempotencyKeyJournal keys;
  private final ExpiredKeySweeper sweeper;
  private final ForwardDeduplicator deduplicator;
  private final AdmissionSystem admission;
  private final DispatchSystem dispatch;
  private final ForwardSystem forwards;
  private final RoutingSystem routing;
  private final RequestFinisher finisher;

  /** Creates the systems and registers them for lease events. */
  public RequestModule(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      WorkerCalls calls,
      PeerTable peers,
      WorkerTable workers,
      OwnershipSystem ownership,
      ContractTable contracts,
      EvacuationTable evacuations,
      LimitSystem limits,
      RandomGenerator random) {
    RetryBudget budget = new RetryBudget();
    keys = new IdempotencyKeyJournal(settings, outbox, store, this::onRecorded, this::onDuplicate);
    sweeper = new ExpiredKeySweeper(settings, store, peers);
    deduplicator = new ForwardDeduplicator(outbox);
    finisher = new RequestFinisher(outbox, requests, limits, keys, deduplicator, random);
    RequestEnqueuer enqueuer = new RequestEnqueuer(outbox, requests, contracts, budget, finisher);
    ServingZones zones = new ServingZones(settings, peers, evacuations);
    admission =
        new AdmissionSystem(
            outbox, store, peers, contracts, limits, zones, requests, keys, budget, enqueuer,
            finisher);
    dispatch = new DispatchSystem(outbox, calls, ownership, requests, enqueuer, finisher);
    forwards = new ForwardSystem(outbox, peers, requests, deduplicator, enqueuer, finisher);
    RoutingPolicy policy = new TwoChoicesRouting(random);
    routing =
        new RoutingSystem(
            settings, peers, workers, zones, requests, policy, dispatch, forwards, finisher);
    ownership.addListener(dispatch);
    ownership.addFenceSource(dispatch);
  }

  /** Handles a caller's request. */
  public void on(CallerRequest call) {
    admission.on(call);
  }

  /** Records that a caller no longer waits for its answer. */
  public void onCallerGone(long exchange) {
    Request request = requests.findExchange(exchange);
    if (request == null) {
      return;
    }
    request.callerGone = true;
    if (request.state == RequestState.WAITING) {
      finisher.finishUnsent(request, ResultCode.DEADLINE_PASSED);
    }
  }

  /** Handles a peer's message about requests; ignores other messages. */
  public void on(PeerMessage message) {
    switch (message.getBodyCase()) {
      case REQUEST_FORWARD -> forwards.on(message, message.getRequestForward());
      case REQUEST_OUTCOME -> forwards.on(message, message.getRequestOutcome());
      case HEARTBEAT ->
          deduplicator.settle(
              message.getFrom(),
              message.getIncarnation(),
              message.getHeartbeat().getSettledForwardsBelow());
      default -> {
        // Not about requests.
      }
    }
  }

  /** Returns the number of open requests, including those forwarded by peers. */
  public int openRequests() {
    return requests.size();
  }

  /** Returns how many requests may be running in an availability zone, as far as known here. */
  public int runningIn(String zone, long now) {
    return routing.runningIn(zone, now);
  }

  /** Returns the id below which all forwards of this entry instance are settled. */
  public long settledForwardsBelow() {
    return forwards.settledBelow();
  }

  /** Returns the number of free slots of the workers whose lease this entry instance holds. */
  public int freeSlots(long now) {
    return routing.freeSlots(now);
  }

  @Override
  public void run(long now) {
    dispatch.run(now);
    keys.run(now);
    sweeper.run(now);
    forwards.run(now);
    routing.run(now);
  }

  private void onRecorded(Request request) {
    admission.onRecorded(request);
  }

  private void onDuplicate(Request request, KeyRecord earlier) {
    admission.onDuplicate(request, earlier);
  }
}
