package org.hemlockpick.internal.request;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Holds the state of one open request. */
final class Request {
  final Origin origin;
  final String customer;
  final String service;
  final boolean idempotent;
  final String idempotencyKey;
  final ByteString body;
  final long admittedAt;
  final long deadline;
  final Set<String> excludedWorkers = new HashSet<>();
  final Set<String> excludedPeers = new HashSet<>();

  RequestState state = RequestState.WAITING;

  /** Whether an earlier attempt may have run. */
  boolean mayHaveRun;

  /** Number of attempts that ended with the loss of the connection to a worker or a peer. */
  int brokenConnections;

  boolean countsAgainstLimit;
  boolean callerGone;
  int sendCount;
  long waitingSince;

  /** Worker of the newest attempt. */
  @Nullable String worker;

  /** Sequence number of the newest attempt; 0 before the first. */
  long sequence;

  /** Time at which the worker first reported the attempt finished; 0 before that. */
  long finishReportedAt;

  /** Peer that the request was forwarded to. */
  @Nullable String peer;

  long peerIncarnation;
  long forwardId;
  long forwardedAt;

  Request(
      Origin origin,
      String customer,
      String service,
      boolean idempotent,
      String idempotencyKey,
      ByteString body,
      long admittedAt,
      long deadline) {
    this.origin = origin;
    this.customer = customer;
    this.service = service;
    this.idempotent = idempotent;
    this.idempotencyKey = idempotencyKey;
    this.body = body;
    this.admittedAt = admittedAt;
    this.deadline = deadline;
  }

  boolean isForwarded() {
    return origin instanceof Origin.Forwarded;
  }

  String label() {
    return customer + "/" + service;
  }

  /** Returns the SHA-256 digest of the service and the body. */
  ByteString digest() {
    byte[] digest =
        Hashing.sha256()
            .newHasher()
            .putString(service, StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putBytes(body.toByteArray())
            .hash()
            .asBytes();
    return ByteString.copyFrom(digest);
  }

  int remainingMillis(long now) {
    return (int) Math.max(1, deadline - now);
  }
}
