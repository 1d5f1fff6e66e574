package org.hemlockpick.internal.contract;

import java.util.Optional;
import org.hemlockpick.errors.ContractMessages;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.lib.Timing;

/**
 * Decides when a starting entry instance knows the contracts well enough to serve.
 *
 * <p>It requires the whole log from the table service or, if that does not reply, the log known to
 * a peer that is ready. In both cases, no live peer may know a newer version.
 */
final class ContractReadiness implements LoopSystem {
  private final long startWaitMillis;
  private final ContractLog log;
  private final ContractLogReader reader;
  private final PeerTable peers;
  private boolean ready;

  ContractReadiness(Timing timing, ContractLog log, ContractLogReader reader, PeerTable peers) {
    this.startWaitMillis = timing.startWait().toMillis();
    this.log = log;
    this.reader = reader;
    this.peers = peers;
  }

  boolean isReady() {
    return ready;
  }

  @Override
  public void run(long now) {
    ready = ready || (peerAhead(now).isEmpty() && hasTrustedSource(now));
  }

  /** Returns the condition that is not met yet; empty if ready. */
  String reason(long now) {
    if (ready) {
      return "";
    }
    return peerAhead(now)
        .map(
            peer ->
                ContractMessages.behindPeer(
                    peer.name(), peer.heartbeat().getConfigVersion(), log.version()))
        .orElseGet(() -> ContractMessages.logNotRead(log.version()));
  }

  private Optional<Peer> peerAhead(long now) {
    return peers.alive(now).stream()
        .filter(peer -> peer.heartbeat().getConfigVersion() > log.version())
        .findFirst();
  }

  private boolean hasTrustedSource(long now) {
    return reader.isComplete() || (isStoreUnresponsive(now) && hasReadyPeer(now));
  }

  private boolean isStoreUnresponsive(long now) {
    return now - reader.lastAnswerAt() >= startWaitMillis;
  }

  private boolean hasReadyPeer(long now) {
    return peers.alive(now).stream().anyMatch(peer -> peer.heartbeat().getReady());
  }
}
