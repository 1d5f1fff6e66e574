package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;

/** Sends the calls of one process, or holds them back between their decision and the socket. */
final class Outbox {
  private List<Runnable> pending = new ArrayList<>();
  private boolean held;
  private boolean closed;

  /** Sends a call, unless calls are held back. */
  void send(Runnable call) {
    if (closed) {
      return;
    }
    if (held) {
      pending.add(call);
      return;
    }
    call.run();
  }

  /** Holds back all calls from now on. */
  void hold() {
    held = true;
  }

  /** Sends the calls held back, in their order, and later calls at once. */
  void release() {
    held = false;
    List<Runnable> due = pending;
    pending = new ArrayList<>();
    due.forEach(Runnable::run);
  }

  /** Drops the calls held back and all later ones: the process has ended. */
  void close() {
    closed = true;
    pending.clear();
  }
}
