package org.hemlockpick.internal.request;

import com.google.protobuf.ByteString;
import java.util.Objects;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.errors.ResultCode.Effect;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.RequestForward;
import org.hemlockpick.proto.RequestOutcome;

/**
 * Forwards requests to peers that own workers with free slots, and handles forwards from peers.
 *
 * <p>A request is forwarded at most one hop. A forward is resent under the same id until its
 * outcome arrives; the receiver runs it once. It names the incarnation of its receiver, because a
 * replacement has no record of what its predecessor ran.
 */
final class ForwardSystem implements LoopSystem {
  private static final long RESEND_INTERVAL_MILLIS = 400;

  private final Outbox outbox;
  private final PeerTable peers;
  private final RequestTable requests;
  private final ForwardDeduplicator deduplicator;
  private final RequestEnqueuer enqueuer;
  private final RequestFinisher finisher;
  private long lastForwardId;

  ForwardSystem(
      Outbox outbox,
      PeerTable peers,
      RequestTable requests,
      ForwardDeduplicator deduplicator,
      RequestEnqueuer enqueuer,
      RequestFinisher finisher) {
    this.outbox = outbox;
    this.peers = peers;
    this.requests = requests;
    this.deduplicator = deduplicator;
    this.enqueuer = enqueuer;
    this.finisher = finisher;
  }

  /** Returns the id below which all forwards of this entry instance are settled. */
  long settledBelow() {
    return requests.openForwards().stream()
        .mapToLong(Long::longValue)
        .min()
        .orElse(lastForwardId + 1);
  }

  /** Forwards a request to a peer. */
  void forward(Request request, Peer peer, long now) {
    requests.setForward(request, ++lastForwardId);
    request.peer = peer.name();
    request.peerIncarnation = peer.incarnation();
    request.state = RequestState.FORWARDED;
    request.sendCount++;
    outbox.event("request-forwarded", request.label(), peer.name());
    send(request, now);
  }

  /** Handles a forward from a peer. */
  void on(PeerMessage message, RequestForward forward) {
    String from = message.getFrom();
    if (forward.getToIncarnation() != outbox.incarnation()) {
      return; // Addressed to a predecessor; the sender learns of the replacement by heartbeat.
    }
    ForwardDeduplicator.ForwardStatus status =
        deduplicator.register(from, message.getIncarnation(), forward.getForwardId());
    if (status != ForwardDeduplicator.ForwardStatus.NEW) {
      return;
    }
    long now = outbox.now();
    Request request =
        new Request(
            new Origin.Forwarded(from, message.getIncarnation(), forward.getForwardId()),
            forward.getCustomer(),
            forward.getService(),
            forward.getIdempotent(),
            "",
            forward.getBody(),
            now,
            now + forward.getTimeoutMillis());
    requests.add(request);
    enqueuer.enqueue(request);
  }

  /** Handles the outcome of a forwarded request. */
  void on(PeerMessage message, RequestOutcome outcome) {
    Request request = requests.findForward(outcome.getForwardId());
    boolean matches =
        request != null
            && request.state == RequestState.FORWARDED
            && message.getFrom().equals(request.peer)
            && message.getIncarnation() == request.peerIncarnation
            && outcome.getToIncarnation() == outbox.incarnation();
    if (request == null || !matches) {
      return;
    }
    requests.clearForward(request);
    ResultCode code = ResultCode.of(outcome.getCode());
    if (code.effect() == Effect.NOT_RUN) {
      request.excludedPeers.add(message.getFrom());
      enqueuer.requeue(request);
    } else if (code == ResultCode.OUTCOME_UNKNOWN && request.idempotent) {
      retryOrGiveUp(request);
    } else {
      finisher.finish(request, code, outcome.getBody());
    }
  }

  @Override
  public void run(long now) {
    for (Request request : requests.inState(RequestState.FORWARDED)) {
      if (isPeerLost(request, now)) {
        onPeerLost(request);
      } else if (now - request.forwardedAt >= RESEND_INTERVAL_MILLIS) {
        send(request, now);
      }
    }
  }

  private boolean isPeerLost(Request request, long now) {
    Peer peer = request.peer == null ? null : peers.find(request.peer);
    return peer == null
        || peer.incarnation() != request.peerIncarnation
        || !peers.isAlive(peer, now);
  }

  private void onPeerLost(Request request) {
    requests.clearForward(request);
    if (request.idempotent) {
      retryOrGiveUp(request);
    } else {
      finisher.finish(request, ResultCode.OUTCOME_UNKNOWN, ByteString.EMPTY);
    }
  }

  private void retryOrGiveUp(Request request) {
    if (request.peer != null) {
      request.excludedPeers.add(request.peer);
    }
    enqueuer.retryAfterBreak(request);
  }

  private void send(Request request, long now) {
    request.forwardedAt = now;
    RequestForward.Builder forward =
        RequestForward.newBuilder()
            .setForwardId(request.forwardId)
            .setCustomer(request.customer)
            .setService(request.service)
            .setIdempotent(request.idempotent)
            .setTimeoutMillis(request.remainingMillis(now))
            .setBody(request.body)
            .setToIncarnation(request.peerIncarnation);
    outbox.send(
        Objects.requireNonNull(request.peer), PeerMessage.newBuilder().setRequestForward(forward));
  }
}
