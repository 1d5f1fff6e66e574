package org.hemlockpick.transport.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counters of a link; may be used from any thread. */
final class TrafficCounters {
  final LongAdder sent = new LongAdder();
  final LongAdder received = new LongAdder();
  final LongAdder dropped = new LongAdder();
  final LongAdder badFrames = new LongAdder();
  final LongAdder reconnects = new LongAdder();
  final LongAdder silences = new LongAdder();
  final LongAdder bytesIn = new LongAdder();
  final LongAdder bytesOut = new LongAdder();

  PeerCounters counters() {
    return new PeerCounters(
        sent.sum(),
        received.sum(),
        dropped.sum(),
        badFrames.sum(),
        reconnects.sum(),
        silences.sum(),
        bytesIn.sum(),
        bytesOut.sum());
  }
}
