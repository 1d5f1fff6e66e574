package org.hemlockpick.internal.request;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.RequestOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Records the forwards received from peers, so that duplicates of a forward run once and get the
 * same answer. An entry is removed when the peer reports the forward as settled; later duplicates
 * are ignored.
 */
final class ForwardDeduplicator {
  private static final class PeerForwards {
    final long incarnation;
    long settledBelow;
    final TreeMap<Long, RequestOutcome> outcomes = new TreeMap<>();

    PeerForwards(long incarnation) {
      this.incarnation = incarnation;
    }
  }

  /** Describes whether a received forward is new. */
  enum ForwardStatus {
    NEW,
    DUPLICATE,
    SETTLED
  }

  private static final RequestOutcome RUNNING = RequestOutcome.getDefaultInstance();

  private final Outbox outbox;
  private final Map<String, PeerForwards> forwardsByPeer = new HashMap<>();

  ForwardDeduplicator(Outbox outbox) {
    this.outbox = outbox;
  }

  /** Registers a forward; if it is a duplicate of a finished one, sends the outcome again. */
  ForwardStatus register(String peer, long incarnation, long forwardId) {
    PeerForwards forwards = forwardsOf(peer, incarnation);
    if (forwards == null || forwardId < forwards.settledBelow) {
      return ForwardStatus.SETTLED;
    }
    RequestOutcome known = forwards.outcomes.putIfAbsent(forwardId, RUNNING);
    if (known == null) {
      return ForwardStatus.NEW;
    }
    if (!known.equals(RUNNING)) {
      send(peer, known);
    }
    return ForwardStatus.DUPLICATE;
  }

  /** Removes the forwards that their peer has settled. */
  void settle(String peer, long incarnation, long settledBelow) {
    PeerForwards forwards = forwardsOf(peer, incarnation);
    if (forwards == null || settledBelow <= forwards.settledBelow) {
      return;
    }
    forwards.settledBelow = settledBelow;
    forwards.outcomes.headMap(settledBelow).clear();
  }

  /** Stores the outcome of a forward until the forward is settled, and sends it to the peer. */
  void recordOutcome(
      Origin.Forwarded origin, ResultCode code, int retryAfterMillis, ByteString body) {
    RequestOutcome outcome =
        RequestOutcome.newBuilder()
            .setForwardId(origin.forwardId())
            .setCode(code.number())
            .setRetryAfterMillis(retryAfterMillis)
            .setBody(body)
            .setToIncarnation(origin.incarnation())
            .build();
    PeerForwards forwards = forwardsOf(origin.peer(), origin.incarnation());
    if (forwards != null && origin.forwardId() >= forwards.settledBelow) {
      forwards.outcomes.put(origin.forwardId(), outcome);
    }
    send(origin.peer(), outcome);
  }

  private @Nullable PeerForwards forwardsOf(String peer, long incarnation) {
    PeerForwards forwards = forwardsByPeer.get(peer);
    if (forwards == null || forwards.incarnation < incarnation) {
      forwards = new PeerForwards(incarnation);
      forwardsByPeer.put(peer, forwards);
    }
    return forwards.incarnation == incarnation ? forwards : null;
  }

  private void send(String peer, RequestOutcome outcome) {
    outbox.send(peer, PeerMessage.newBuilder().setRequestOutcome(outcome));
  }
}
