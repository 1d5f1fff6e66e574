package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;

/** Sends the calls of one process, or lets them lie between their decision and the socket. */
final class Outbox {
  private List<Runnable> pending = new ArrayList<>();
  private boolean held;
  private boolean closed;

  /** Sends a call, at once unless the calls are held. */
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

  /** Lets the calls lie from now on. */
  void hold() {
    held = true;
  }

  /** Sends what lies, in its order, and what comes at once. */
  void release() {
    held = false;
    List<Runnable> due = pending;
    pending = new ArrayList<>();
    due.forEach(Runnable::run);
  }

  /** Drops what lies and what comes: the process has ended. */
  void close() {
    closed = true;
    pending.clear();
  }
}
