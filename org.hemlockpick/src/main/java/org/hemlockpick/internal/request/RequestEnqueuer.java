package org.hemlockpick.internal.request;

import org.hemlockpick.contract.Contract;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.loop.Outbox;

/** Adds requests to the queue of those that wait for a worker. */
final class RequestEnqueuer {
  /** Maximum number of times a request is sent, including the first. */
  private static final int MAX_SEND_COUNT = 4;

  /** Number of workers that one request may take down. */
  private static final int MAX_BROKEN_CONNECTIONS = 2;

  private final Outbox outbox;
  private final RequestTable requests;
  private final ContractTable contracts;
  private final RetryBudget budget;
  private final RequestFinisher finisher;

  RequestEnqueuer(
      Outbox outbox,
      RequestTable requests,
      ContractTable contracts,
      RetryBudget budget,
      RequestFinisher finisher) {
    this.outbox = outbox;
    this.requests = requests;
    this.contracts = contracts;
    this.budget = budget;
    this.finisher = finisher;
  }

  /** Queues a request for a worker. */
  void enqueue(Request request) {
    Contract contract = contracts.find(request.customer);
    request.state = RequestState.WAITING;
    request.waitingSince = outbox.now();
    requests.waiting().add(request, contract == null ? 1 : contract.weight());
  }

  /**
   * Retries an idempotent request under which a connection broke, unless it may be the cause. The
   * entry instance that a caller reached counts for all: a peer reports the first break to it.
   */
  void retryAfterBreak(Request request) {
    request.brokenConnections++;
    if (request.isForwarded() || request.brokenConnections >= MAX_BROKEN_CONNECTIONS) {
      String broken = request.brokenConnections + " connections broke";
      outbox.event("request-given-up", request.label(), broken);
      finisher.finish(request, ResultCode.OUTCOME_UNKNOWN);
      return;
    }
    retryOrGiveUp(request);
  }

  /**
   * Retries an idempotent request whose newest attempt may have run, if the retry budget allows it.
   */
  void retryOrGiveUp(Request request) {
    request.mayHaveRun = true;
    if (budget.tryAcquire()) {
      requeue(request);
    } else {
      finisher.finish(request, ResultCode.OUTCOME_UNKNOWN);
    }
  }

  /** Requeues a request whose newest attempt did not run or may be repeated. */
  void requeue(Request request) {
    if (request.sendCount >= MAX_SEND_COUNT) {
      finisher.finishUnsent(request, ResultCode.NO_WORKER);
      return;
    }
    enqueue(request);
  }
}
