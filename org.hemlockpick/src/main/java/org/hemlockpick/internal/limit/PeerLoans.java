package org.hemlockpick.internal.limit;

/**
 * Counts the units of one limit that were lent to and borrowed from one peer. The totals only grow,
 * so that lost, duplicate and reordered messages do no harm: the highest total is valid.
 */
final class PeerLoans {
  private final String peer;
  private long incarnation;
  private long lentTotal;
  private long lentReturnedTotal;
  private long nextResendAt;
  private long borrowedTotal;
  private long returnedTotal;
  private long dueAt;
  private boolean overdue;

  PeerLoans(String peer) {
    this.peer = peer;
  }

  String peer() {
    return peer;
  }

  long incarnation() {
    return incarnation;
  }

  /** Discards all loans if the peer was replaced, since its successor has no record of them. */
  void updateIncarnation(long incarnation) {
    if (incarnation <= this.incarnation) {
      return;
    }
    this.incarnation = incarnation;
    lentTotal = 0;
    lentReturnedTotal = 0;
    borrowedTotal = 0;
    returnedTotal = 0;
    overdue = false;
  }

  /** Returns the units that the peer may use and this entry instance may not. */
  long lent() {
    return lentTotal - lentReturnedTotal;
  }

  /** Returns the units of the peer that this entry instance may use. */
  long borrowed() {
    return borrowedTotal - returnedTotal;
  }

  /** Returns the part of {@link #borrowed()} that must be returned as soon as it is free. */
  long overdue() {
    return overdue ? borrowed() : 0;
  }

  long lentTotal() {
    return lentTotal;
  }

  long borrowedTotal() {
    return borrowedTotal;
  }

  long returnedTotal() {
    return returnedTotal;
  }

  void lend(long units) {
    lentTotal += units;
  }

  void recordReturn(long returnedTotal) {
    if (returnedTotal <= lentTotal) {
      lentReturnedTotal = Math.max(lentReturnedTotal, returnedTotal);
    }
  }

  /** Records a loan message; returns false if it is older than one received before. */
  boolean recordLoan(long total, long dueAt) {
    if (total < borrowedTotal) {
      return false;
    }
    borrowedTotal = total;
    this.dueAt = dueAt;
    overdue = false;
    return true;
  }

  void updateOverdue(long now) {
    overdue = now >= dueAt;
  }

  void returnUnits(long units) {
    returnedTotal += units;
  }

  boolean isResendDue(long now) {
    return lent() > 0 && now >= nextResendAt;
  }

  void setNextResendAt(long time) {
    nextResendAt = time;
  }
}
