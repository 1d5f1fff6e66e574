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
 * Remembers the forwards of peers, so that copies of a forward run once and get the same answer. An
 * entry is forgotten when the peer says that the forward is settled; later copies are refused.
 */
final class ForwardLedger {
  private static final class Account {
    final long incarnation;
    long settledBelow;
    final TreeMap<Long, RequestOutcome> outcomes = new TreeMap<>();

    Account(long incarnation) {
      this.incarnation = incarnation;
    }
  }

  /** Tells what is known of a forward. */
  enum Standing {
    FIRST,
    COPY,
    SETTLED
  }

  private static final RequestOutcome RUNNING = RequestOutcome.getDefaultInstance();

  private final Outbox outbox;
  private final Map<String, Account> accounts = new HashMap<>();

  ForwardLedger(Outbox outbox) {
    this.outbox = outbox;
  }

  /** Notes a forward and answers it again when it is a copy of a finished one. */
  Standing note(String peer, long incarnation, long forwardId) {
    Account account = account(peer, incarnation);
    if (account == null || forwardId < account.settledBelow) {
      return Standing.SETTLED;
    }
    RequestOutcome known = account.outcomes.putIfAbsent(forwardId, RUNNING);
    if (known == null) {
      return Standing.FIRST;
    }
    if (!known.equals(RUNNING)) {
      send(peer, known);
    }
    return Standing.COPY;
  }

  /** Forgets the forwards of a peer that it has settled. */
  void settle(String peer, long incarnation, long settledBelow) {
    Account account = account(peer, incarnation);
    if (account == null || settledBelow <= account.settledBelow) {
      return;
    }
    account.settledBelow = settledBelow;
    account.outcomes.headMap(settledBelow).clear();
  }

  /** Keeps the outcome of a forward until it is settled and sends it to the peer. */
  void finish(Origin.Forwarded origin, ResultCode code, int retryAfterMillis, ByteString body) {
    RequestOutcome outcome =
        RequestOutcome.newBuilder()
            .setForwardId(origin.forwardId())
            .setCode(code.number())
            .setRetryAfterMillis(retryAfterMillis)
            .setBody(body)
            .setToIncarnation(origin.incarnation())
            .build();
    Account account = account(origin.peer(), origin.incarnation());
    if (account != null && origin.forwardId() >= account.settledBelow) {
      account.outcomes.put(origin.forwardId(), outcome);
    }
    send(origin.peer(), outcome);
  }

  private @Nullable Account account(String peer, long incarnation) {
    Account account = accounts.get(peer);
    if (account == null || account.incarnation < incarnation) {
      account = new Account(incarnation);
      accounts.put(peer, account);
    }
    return account.incarnation == incarnation ? account : null;
  }

  private void send(String peer, RequestOutcome outcome) {
    outbox.send(peer, PeerMessage.newBuilder().setRequestOutcome(outcome));
  }
}
