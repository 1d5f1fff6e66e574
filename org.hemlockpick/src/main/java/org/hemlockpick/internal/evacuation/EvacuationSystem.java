package org.hemlockpick.internal.evacuation;

import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.proto.EvacuationChange;

/**
 * Maintains the set of evacuated availability zones: polls it in the table service and records
 * operators' changes.
 */
public final class EvacuationSystem implements LoopSystem {
  /** Maximum length of the name of an operator, in characters. */
  private static final int MAX_OPERATOR_CHARS = 128;

  private final Outbox outbox;
  private final PeerTable peers;
  private final EvacuationTable table;
  private final EvacuationReader reader;
  private final EvacuationWriter writer;
  private final NavigableSet<String> zones = new TreeSet<>();
  private final long startWaitMillis;
  private boolean ready;

  /** Creates the system; it is not ready before the first read of the table service. */
  public EvacuationSystem(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      PeerTable peers,
      EvacuationTable table) {
    this.outbox = outbox;
    this.peers = peers;
    this.table = table;
    reader = new EvacuationReader(table, store, outbox, settings.timing());
    writer = new EvacuationWriter(table, store, outbox, settings.timing());
    settings.roster().stream().map(RosterMember::zone).forEach(zones::add);
    startWaitMillis = settings.timing().startWait().toMillis();
  }

  /** Handles an operator's change, which is answered once its result is known. */
  public void on(EvacuationChange change) {
    String operator = change.getOperator();
    if (operator.isBlank() || operator.length() > MAX_OPERATOR_CHARS) {
      refuse(change, ResultCode.BAD_REQUEST, Messages.BAD_OPERATOR);
    } else if (!zones.contains(change.getZone())) {
      refuse(change, ResultCode.UNKNOWN_ZONE, Messages.unknownZone(change.getZone(), zones));
    } else {
      writer.add(change);
    }
  }

  @Override
  public void run(long now) {
    reader.run(now);
    writer.run(now);
    updateReadiness(now);
  }

  /**
   * Returns whether this entry instance knows the evacuations; once true, it stays true.
   *
   * @param now time of the tick in milliseconds on the loop's clock
   */
  public boolean isReady(long now) {
    updateReadiness(now);
    return ready;
  }

  /** Returns what {@link #isReady} waits for; empty if it waits for nothing. */
  public String notReadyReason() {
    return ready ? "" : Messages.NOT_READ;
  }

  private void updateReadiness(long now) {
    if (ready || reader.isComplete()) {
      ready = true;
    } else if (now - reader.lastAnswerAt() >= startWaitMillis) {
      adoptFromPeers(now);
    }
  }

  /** Adopts the evacuations known to peers that are ready, while the table service is down. */
  private void adoptFromPeers(long now) {
    List<Peer> sources =
        peers.alive(now).stream().filter(peer -> peer.heartbeat().getReady()).toList();
    for (Peer source : sources) {
      source.heartbeat().getEvacuationsList().forEach(record -> table.learn(record, 0));
      ready = true;
    }
  }

  private void refuse(EvacuationChange change, ResultCode code, String detail) {
    outbox.answer(change.getExchange(), code, detail, 0);
  }
}
