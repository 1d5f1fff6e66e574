package org.hemlockpick.internal.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.WorkerCalls;
import org.hemlockpick.internal.ownership.FenceSource;
import org.hemlockpick.internal.ownership.LeaseListener;
import org.hemlockpick.internal.ownership.OwnershipSystem;
import org.hemlockpick.internal.ownership.RequestAttempt;
import org.hemlockpick.internal.ownership.Worker;
import org.hemlockpick.proto.CallFate;
import org.hemlockpick.proto.FencedRequest;
import org.hemlockpick.proto.RequestCall;
import org.hemlockpick.proto.RequestReply;
import org.hemlockpick.proto.RequestResult;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;

/**
 * Sends requests to workers whose lease this entry instance holds, and turns their replies, or the
 * absence of one, into outcomes.
 *
 * <p>Every attempt has a sequence number that is never reused, so the reply to an abandoned attempt
 * is never mistaken for the reply to another. An attempt without a reply is included in the next
 * renewal of the lease: the worker either proves that it did not run and never will, or reports
 * that it is running or has finished.
 */
final class DispatchSystem implements LoopSystem, LeaseListener, FenceSource {
  /** Age from which the worker is asked about an attempt without a reply, in milliseconds. */
  private static final long FENCE_AFTER_MILLIS = 1_000;

  /**
   * Time for the reply to arrive after the worker reported the attempt finished, in milliseconds.
   */
  private static final long ANSWER_GRACE_MILLIS = 500;

  private final Outbox outbox;
  private final WorkerCalls calls;
  private final OwnershipSystem ownership;
  private final RequestTable requests;
  private final RequestEnqueuer enqueuer;
  private final RequestFinisher finisher;

  DispatchSystem(
      Outbox outbox,
      WorkerCalls calls,
      OwnershipSystem ownership,
      RequestTable requests,
      RequestEnqueuer enqueuer,
      RequestFinisher finisher) {
    this.outbox = outbox;
    this.calls = calls;
    this.ownership = ownership;
    this.requests = requests;
    this.enqueuer = enqueuer;
    this.finisher = finisher;
  }

  /** Sends a request to a worker that has a free slot. */
  void send(Request request, Worker worker, long now) {
    RequestAttempt attempt = new RequestAttempt(worker.epoch(), ownership.nextSequence(), now);
    worker.addAttempt(attempt);
    requests.setSequence(request, attempt.sequence());
    request.worker = worker.name();
    request.state = RequestState.SENT;
    request.sendCount++;
    request.finishReportedAt = 0;
    RequestCall.Builder call =
        RequestCall.newBuilder()
            .setEpoch(attempt.epoch())
            .setSequence(attempt.sequence())
            .setCustomer(request.customer)
            .setService(request.service)
            .setBody(request.body)
            .setIdempotent(request.idempotent)
            .setTimeoutMillis(request.remainingMillis(now));
    WorkerCall.Builder workerCall =
        WorkerCall.newBuilder()
            .setWorker(worker.name())
            .setAddress(worker.address())
            .setTimeoutMillis(request.remainingMillis(now))
            .setFreshConnection(worker.takeFreshConnection())
            .setRequest(call);
    outbox.event("request-sent", request.label(), worker.name() + " #" + attempt.sequence());
    calls.send(workerCall, reply -> onReply(request, worker, attempt, reply));
  }

  @Override
  public void run(long now) {
    for (Request request : requests.pastDeadline(now)) {
      expire(request);
    }
  }

  @Override
  public List<RequestAttempt> attemptsToFence(Worker worker, long now) {
    List<RequestAttempt> unanswered = new ArrayList<>();
    for (RequestAttempt attempt : worker.openAttempts()) {
      if (now - attempt.sentAt() >= FENCE_AFTER_MILLIS) {
        unanswered.add(attempt);
      }
    }
    return unanswered;
  }

  @Override
  public void fenced(Worker worker, FencedRequest fenced) {
    Request request = requests.findSequence(fenced.getSequence());
    if (request == null || !worker.name().equals(request.worker)) {
      return; // Attempts that no request waits for any more are settled by the OwnershipSystem.
    }
    switch (fenced.getFate()) {
      case NEVER_SEEN -> onNeverSeen(request, worker);
      case FINISHED -> onFinishedUnanswered(request, worker);
      case REQUEST_FATE_UNSPECIFIED -> onFateUnknown(request);
      default -> {
        // Still running: the reply or the next report decides.
      }
    }
  }

  @Override
  public void lost(Worker worker) {
    for (Request request : requests.inState(RequestState.FENCING)) {
      if (worker.name().equals(request.worker)) {
        finisher.finish(request, ResultCode.OUTCOME_UNKNOWN);
      }
    }
  }

  private void onReply(Request request, Worker worker, RequestAttempt attempt, WorkerReply reply) {
    boolean current =
        request.sequence == attempt.sequence() && request.state != RequestState.FINISHED;
    if (reply.getFate() == CallFate.NOT_SENT) {
      worker.settle(attempt.sequence());
      if (current) {
        requeueElsewhere(request, worker);
      }
      return;
    }
    boolean complete =
        reply.getFate() == CallFate.ANSWERED
            && reply.getRequest().getSequence() == attempt.sequence()
            && reply.getRequest().getResult() != RequestResult.REQUEST_RESULT_UNSPECIFIED;
    if (!complete) {
      onReplyLost(request, worker, attempt, current);
      return;
    }
    worker.settle(attempt.sequence());
    if (current) {
      onCompleteReply(request, worker, reply.getRequest());
    }
  }

  private void onCompleteReply(Request request, Worker worker, RequestReply reply) {
    switch (reply.getResult()) {
      case REQUEST_DONE -> finisher.finish(request, ResultCode.DONE, reply.getBody());
      case REQUEST_FAILED -> finisher.finish(request, ResultCode.FAILED, reply.getBody());
      case REFUSED_STALE -> {
        ownership.renewSoon(worker);
        requeueElsewhere(request, worker);
      }
      default -> requeueElsewhere(request, worker);
    }
  }

  private void onReplyLost(
      Request request, Worker worker, RequestAttempt attempt, boolean current) {
    worker.abandon(attempt.sequence());
    resetConnections(worker);
    if (!current) {
      return;
    }
    if (request.idempotent) {
      detachFromWorker(request, worker);
      enqueuer.retryAfterBreak(request);
    } else if (worker.isHeld(outbox.now())) {
      request.state = RequestState.FENCING;
    } else {
      finisher.finish(request, ResultCode.OUTCOME_UNKNOWN);
    }
  }

  private void onNeverSeen(Request request, Worker worker) {
    worker.settle(request.sequence);
    resetConnections(worker);
    outbox.event("request-never-seen", request.label(), worker.name() + " #" + request.sequence);
    requeueElsewhere(request, worker);
  }

  private void onFinishedUnanswered(Request request, Worker worker) {
    long now = outbox.now();
    if (request.finishReportedAt == 0) {
      request.finishReportedAt = now;
    }
    if (request.state == RequestState.SENT
        && now - request.finishReportedAt < ANSWER_GRACE_MILLIS) {
      return;
    }
    worker.settle(request.sequence);
    resetConnections(worker);
    if (request.idempotent) {
      detachFromWorker(request, worker);
      enqueuer.retryOrGiveUp(request);
    } else {
      finisher.finish(request, ResultCode.OUTCOME_UNKNOWN);
    }
  }

  private void onFateUnknown(Request request) {
    if (request.state == RequestState.FENCING) {
      finisher.finish(request, ResultCode.OUTCOME_UNKNOWN);
    }
  }

  private void requeueElsewhere(Request request, Worker worker) {
    detachFromWorker(request, worker);
    enqueuer.requeue(request);
  }

  /**
   * Detaches the request from its attempt, so that late replies to it are ignored, and makes the
   * next attempt prefer other workers.
   */
  private void detachFromWorker(Request request, Worker worker) {
    requests.clearSequence(request);
    request.excludedWorkers.add(worker.name());
  }

  private void resetConnections(Worker worker) {
    worker.requireFreshConnection();
    outbox.resetWorker(worker.name());
    ownership.renewSoon(worker);
  }

  private void expire(Request request) {
    boolean running =
        request.state == RequestState.SENT
            || request.state == RequestState.FENCING
            || request.state == RequestState.FORWARDED;
    if (request.state == RequestState.SENT && request.worker != null) {
      ownership.abandon(request.worker, request.sequence);
    }
    if (running) {
      finisher.finish(request, ResultCode.OUTCOME_UNKNOWN, ByteString.EMPTY);
    } else if (request.state == RequestState.RECORDING) {
      finisher.finish(request, ResultCode.STORE_UNREACHABLE);
    } else {
      finisher.finishUnsent(request, ResultCode.DEADLINE_PASSED);
    }
  }
}
