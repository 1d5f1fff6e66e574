package org.hemlockpick.internal.limit;

/**
 * Counts the units of one limit that were lent to and borrowed from one peer. Totals only grow, so
 * that lost, repeated and reordered messages do no harm: the newest total holds.
 */
final class PeerLoans {
  private final String peer;
  private long incarnation;
  private long lentTotal;
  private long lentReturned;
  private long nextResend;
  private long borrowedTotal;
  private long borrowedReturned;
  private long dueAt;
  private boolean due;

  PeerLoans(String peer) {
    this.peer = peer;
  }

  String peer() {
    return peer;
  }

  long incarnation() {
    return incarnation;
  }

  /** Forgets all loans when the peer was replaced: its successor knows nothing of them. */
  void meet(long incarnation) {
    if (incarnation <= this.incarnation) {
      return;
    }
    this.incarnation = incarnation;
    lentTotal = 0;
    lentReturned = 0;
    borrowedTotal = 0;
    borrowedReturned = 0;
    due = false;
  }

  /** Returns the units that the peer may use and this entry instance may not. */
  long lent() {
    return lentTotal - lentReturned;
  }

  /** Returns the units of the peer that this entry instance may use. */
  long held() {
    return borrowedTotal - borrowedReturned;
  }

  /** Returns the part of {@link #held()} that must be returned as soon as it is free. */
  long due() {
    return due ? held() : 0;
  }

  long lentTotal() {
    return lentTotal;
  }

  long borrowedTotal() {
    return borrowedTotal;
  }

  long borrowedReturned() {
    return borrowedReturned;
  }

  void lend(long units) {
    lentTotal += units;
  }

  void takeBack(long returnedTotal) {
    if (returnedTotal <= lentTotal) {
      lentReturned = Math.max(lentReturned, returnedTotal);
    }
  }

  /** Returns false when the message is older than one seen before. */
  boolean borrow(long total, long dueAt) {
    if (total < borrowedTotal) {
      return false;
    }
    borrowedTotal = total;
    this.dueAt = dueAt;
    due = false;
    return true;
  }

  void expire(long now) {
    due = now >= dueAt;
  }

  void giveBack(long units) {
    borrowedReturned += units;
  }

  boolean isResendDue(long now) {
    return lent() > 0 && now >= nextResend;
  }

  void resendAt(long time) {
    nextResend = time;
  }
}
