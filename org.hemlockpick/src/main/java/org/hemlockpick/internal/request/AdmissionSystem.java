package org.hemlockpick.internal.request;

import com.google.protobuf.ByteString;
import org.hemlockpick.contract.Contract;
import org.hemlockpick.contract.ServiceTerms;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.limit.LimitSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.KeyRecord;
import org.hemlockpick.proto.KeyState;
import org.hemlockpick.proto.LimitKind;

/**
 * Validates callers' requests against the contracts and refuses early those that cannot be served.
 */
final class AdmissionSystem {
  /** Maximum number of waiting requests of a customer, per unit of its weight. */
  private static final int MAX_WAITING_PER_WEIGHT = 32;

  private final Outbox outbox;
  private final StoreCalls store;
  private final PeerTable peers;
  private final ContractTable contracts;
  private final LimitSystem limits;
  private final ServingZones zones;
  private final RequestTable requests;
  private final IdempotencyKeyJournal keys;
  private final RetryBudget budget;
  private final RequestEnqueuer enqueuer;
  private final RequestFinisher finisher;

  AdmissionSystem(
      Outbox outbox,
      StoreCalls store,
      PeerTable peers,
      ContractTable contracts,
      LimitSystem limits,
      ServingZones zones,
      RequestTable requests,
      IdempotencyKeyJournal keys,
      RetryBudget budget,
      RequestEnqueuer enqueuer,
      RequestFinisher finisher) {
    this.outbox = outbox;
    this.store = store;
    this.peers = peers;
    this.contracts = contracts;
    this.limits = limits;
    this.zones = zones;
    this.requests = requests;
    this.keys = keys;
    this.budget = budget;
    this.enqueuer = enqueuer;
    this.finisher = finisher;
  }

  /** Admits or refuses a request. */
  void on(CallerRequest call) {
    Contract contract = contracts.find(call.getCustomer());
    if (contract == null || !contract.accepts(call.getKeyDigest())) {
      refuse(call, ResultCode.NOT_AUTHENTICATED);
      return;
    }
    ServiceTerms terms = contract.services().get(call.getService());
    if (terms == null) {
      refuse(call, ResultCode.UNKNOWN_SERVICE);
      return;
    }
    if (call.getBody().size() > terms.maxBodyBytes()) {
      refuse(call, ResultCode.TOO_LARGE);
      return;
    }
    if (!call.getIdempotent() && call.getIdempotencyKey().isEmpty()) {
      refuse(call, ResultCode.KEY_REQUIRED);
      return;
    }
    admit(call, contract, terms);
  }

  /** Queues a request whose idempotency key has been recorded. */
  void onRecorded(Request request) {
    enqueuer.enqueue(request);
  }

  /** Answers a request whose idempotency key was already recorded by an earlier request. */
  void onDuplicate(Request request, KeyRecord earlier) {
    if (!earlier.getRequestDigest().equals(request.digest())) {
      finisher.finish(request, ResultCode.KEY_REUSED);
      return;
    }
    if (earlier.getState() == KeyState.KEY_DONE && earlier.getBodyOmitted()) {
      finisher.finish(request, ResultCode.ANSWER_NOT_KEPT);
      return;
    }
    if (earlier.getState() == KeyState.KEY_DONE) {
      finisher.finish(request, ResultCode.of(earlier.getCode()), earlier.getBody());
      return;
    }
    finisher.finish(request, isLive(earlier) ? ResultCode.IN_PROGRESS : ResultCode.OUTCOME_UNKNOWN);
  }

  private boolean isLive(KeyRecord record) {
    var peer = peers.find(record.getInstance());
    return peer == null
        ? record.getIncarnation() == outbox.incarnation()
        : peer.incarnation() == record.getIncarnation() && peers.isAlive(peer, outbox.now());
  }

  private void admit(CallerRequest call, Contract contract, ServiceTerms terms) {
    boolean keyed = !call.getIdempotent();
    if (keyed && !store.isReachable()) {
      refuse(call, ResultCode.STORE_UNREACHABLE);
      return;
    }
    if (keyed && keys.isOpen(call.getCustomer(), call.getIdempotencyKey())) {
      refuse(call, ResultCode.IN_PROGRESS);
      return;
    }
    if (zones.areNone(outbox.now())) {
      refuse(call, ResultCode.EVACUATED);
      return;
    }
    if (requests.waiting().size(call.getCustomer()) >= MAX_WAITING_PER_WEIGHT * contract.weight()) {
      refuse(call, ResultCode.OVERLOADED);
      return;
    }
    if (!limits.tryAcquireRate(call.getCustomer())
        || !limits.tryAcquire(call.getCustomer(), LimitKind.REQUESTS_IN_FLIGHT)) {
      refuse(call, ResultCode.OVER_LIMIT);
      return;
    }
    budget.creditRequest();
    Request request = newRequest(call, terms);
    request.countsAgainstLimit = true;
    requests.add(request);
    outbox.event("request-admitted", request.label(), keyed ? "non-idempotent" : "idempotent");
    if (keyed) {
      request.state = RequestState.RECORDING;
      keys.record(request);
    } else {
      enqueuer.enqueue(request);
    }
  }

  private Request newRequest(CallerRequest call, ServiceTerms terms) {
    long now = outbox.now();
    long maxTimeout = terms.timeout().toMillis();
    long timeout =
        call.getTimeoutMillis() == 0 ? maxTimeout : Math.min(maxTimeout, call.getTimeoutMillis());
    return new Request(
        new Origin.Caller(call.getExchange()),
        call.getCustomer(),
        call.getService(),
        call.getIdempotent(),
        call.getIdempotent() ? "" : call.getIdempotencyKey(),
        call.getBody(),
        now,
        now + timeout);
  }

  /** Refuses a request that holds no resources yet. */
  void refuse(CallerRequest call, ResultCode code) {
    outbox.answer(
        CallerAnswer.newBuilder()
            .setExchange(call.getExchange())
            .setCode(code.number())
            .setDetail(code.text())
            .setRetryAfterMillis(finisher.retryAfterMillis())
            .setBody(ByteString.EMPTY));
  }
}
