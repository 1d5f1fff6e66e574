package org.hemlockpick.internal.request;

import com.google.protobuf.ByteString;
import java.util.random.RandomGenerator;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.errors.ResultCode.Effect;
import org.hemlockpick.internal.limit.LimitSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.LimitKind;

/** Finishes requests: answers the caller or peer once and releases what the request held. */
final class RequestFinisher {
  private static final int RETRY_AFTER_MIN_MILLIS = 200;
  private static final int RETRY_AFTER_SPREAD_MILLIS = 800;

  private final Outbox outbox;
  private final RequestTable requests;
  private final LimitSystem limits;
  private final IdempotencyKeyJournal keys;
  private final ForwardDeduplicator deduplicator;
  private final RandomGenerator random;

  RequestFinisher(
      Outbox outbox,
      RequestTable requests,
      LimitSystem limits,
      IdempotencyKeyJournal keys,
      ForwardDeduplicator deduplicator,
      RandomGenerator random) {
    this.outbox = outbox;
    this.requests = requests;
    this.limits = limits;
    this.keys = keys;
    this.deduplicator = deduplicator;
    this.random = random;
  }

  /** Finishes a request without a response body. */
  void finish(Request request, ResultCode code) {
    finish(request, code, ByteString.EMPTY);
  }

  /**
   * Finishes a request that is not running; its outcome is unknown if an earlier attempt may have
   * run.
   */
  void finishUnsent(Request request, ResultCode code) {
    finish(request, request.mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : code);
  }

  void finish(Request request, ResultCode code, ByteString body) {
    if (request.state == RequestState.FINISHED) {
      return;
    }
    requests.remove(request);
    if (request.countsAgainstLimit) {
      limits.release(request.customer, LimitKind.REQUESTS_IN_FLIGHT);
    }
    keys.finish(request, code, body);
    int retryAfter = code.effect() == Effect.RAN ? 0 : retryAfterMillis();
    outbox.event("request-finished", request.label(), code.name());
    if (request.origin instanceof Origin.Forwarded origin) {
      deduplicator.recordOutcome(origin, code, retryAfter, body);
      return;
    }
    if (request.origin instanceof Origin.Caller caller && !request.callerGone) {
      outbox.answer(
          CallerAnswer.newBuilder()
              .setExchange(caller.exchange())
              .setCode(code.number())
              .setDetail(code.text())
              .setRetryAfterMillis(retryAfter)
              .setBody(body));
    }
  }

  /** Returns a retry delay, randomized so that callers do not all retry at once. */
  int retryAfterMillis() {
    return RETRY_AFTER_MIN_MILLIS + random.nextInt(RETRY_AFTER_SPREAD_MILLIS);
  }
}
