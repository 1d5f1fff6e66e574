package org.hemlockpick.cell;

import java.util.ArrayDeque;
import java.util.Queue;
import org.hemlockpick.fakes.VirtualTime;

/**
 * A link of limited bandwidth that many transfers share. It carries one packet after another; of
 * each transfer a window of packets is in flight at a time, so that a short transfer overtakes long
 * ones.
 */
final class SharedLink {
  private static final long PACKET_BYTES = 16_384;
  private static final int WINDOW_PACKETS = 8;
  private static final long MICROS_IN_MILLI = 1_000;
  private static final long MICROS_IN_SECOND = 1_000_000;

  private record Packet(Transfer transfer, long bytes) {}

  private final VirtualTime time;
  private final long bytesPerSecond;
  private final Queue<Packet> packets = new ArrayDeque<>();
  private boolean busy;
  private long freeAtMicros;

  /** Bytes carried so far, including those of abandoned calls. */
  long bytesCarried;

  SharedLink(VirtualTime time, long bytesPerSecond) {
    this.time = time;
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Begins a transfer; the action runs when its last byte is carried, unless it is abandoned. */
  Transfer send(long bytes, Runnable onComplete) {
    Transfer transfer = new Transfer(bytes, onComplete);
    for (int i = 0; i < WINDOW_PACKETS; i++) {
      transfer.enqueue();
    }
    return transfer;
  }

  private void carryNext() {
    Packet packet = packets.poll();
    busy = packet != null;
    if (packet == null) {
      return;
    }
    long nowMicros = time.millis() * MICROS_IN_MILLI;
    freeAtMicros =
        Math.max(nowMicros, freeAtMicros) + packet.bytes() * MICROS_IN_SECOND / bytesPerSecond;
    time.after(freeAtMicros / MICROS_IN_MILLI - time.millis(), () -> onCarried(packet));
  }

  private void onCarried(Packet packet) {
    bytesCarried += packet.bytes();
    packet.transfer().onCarried(packet.bytes());
    carryNext();
  }

  /** One reply in flight. */
  final class Transfer {
    private final Runnable onComplete;
    private long unsent;
    private long uncarried;
    private boolean abandoned;

    /**
     * Time at which the latest packet arrived, in milliseconds; before the first, that of the
     * start.
     */
    long lastPacketAt = time.millis();

    private Transfer(long bytes, Runnable onComplete) {
      this.onComplete = onComplete;
      unsent = bytes;
      uncarried = bytes;
    }

    /** Sends no further packets; those in flight still use the link. */
    void abandon() {
      abandoned = true;
    }

    private void enqueue() {
      if (unsent == 0 || abandoned) {
        return;
      }
      long bytes = Math.min(PACKET_BYTES, unsent);
      unsent -= bytes;
      packets.add(new Packet(this, bytes));
      if (!busy) {
        carryNext();
      }
    }

    private void onCarried(long bytes) {
      lastPacketAt = time.millis();
      uncarried -= bytes;
      if (abandoned) {
        return;
      }
      if (uncarried == 0) {
        onComplete.run();
        return;
      }
      enqueue();
    }
  }
}
