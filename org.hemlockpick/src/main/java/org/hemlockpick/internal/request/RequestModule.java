package org.hemlockpick.internal.request;

import java.util.random.RandomGenerator;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.contract.ContractTable;
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

/** Puts the systems for latency-critical requests together and runs them in order. */
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

  /** Creates the systems and subscribes them to the leases. */
  public RequestModule(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      WorkerCalls calls,
      PeerTable peers,
      WorkerTable workers,
      OwnershipSystem ownership,
      ContractTable contracts,
      LimitSystem limits,
      RandomGenerator random) {
    RetryBudget budget = new RetryBudget();
    keys = new IdempotencyKeyJournal(settings, outbox, store, this::onRecorded, this::onDuplicate);
    sweeper = new ExpiredKeySweeper(settings, store, peers);
    deduplicator = new ForwardDeduplicator(outbox);
    finisher = new RequestFinisher(outbox, requests, limits, keys, deduplicator, random);
    RequestEnqueuer enqueuer = new RequestEnqueuer(outbox, requests, contracts, budget, finisher);
    admission =
        new AdmissionSystem(
            outbox, store, peers, contracts, limits, requests, keys, budget, enqueuer, finisher);
    dispatch = new DispatchSystem(outbox, calls, ownership, requests, enqueuer, finisher);
    forwards = new ForwardSystem(outbox, peers, requests, deduplicator, enqueuer, finisher);
    RoutingPolicy policy = new TwoChoicesRouting(random);
    routing =
        new RoutingSystem(settings, peers, workers, requests, policy, dispatch, forwards, finisher);
    ownership.addListener(dispatch);
    ownership.addFenceSource(dispatch);
  }

  /** Takes a request of a caller. */
  public void on(CallerRequest call) {
    admission.on(call);
  }

  /** Notes that a caller does not wait for its answer any more. */
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

  /** Takes a message of a peer that concerns requests; others are ignored. */
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

  /** Returns how many requests are open here, those of peers included. */
  public int openRequests() {
    return requests.size();
  }

  /** Returns the number below which all forwards of this entry instance are settled. */
  public long settledForwardsBelow() {
    return forwards.settledBelow();
  }

  /** Returns the free slots of the workers held here. */
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
