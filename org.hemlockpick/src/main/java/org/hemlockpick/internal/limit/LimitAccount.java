package org.hemlockpick.internal.limit;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hemlockpick.proto.LimitKind;

/** Counts the units of one limit of one customer at this entry instance. */
final class LimitAccount {
  /**
   * Divisor of the share that gives the low watermark of free units. At or below it, more units are
   * requested ahead of need.
   */
  private static final int LOW_WATERMARK_DIVISOR = 8;

  private final String customer;
  private final LimitKind kind;
  private final LenderRotation lenderRotation = new LenderRotation();
  private final Map<String, PeerLoans> loans = new LinkedHashMap<>();
  private long share;
  private long inUse;
  private long unmetDemand;
  private long lastShortageAt = Long.MIN_VALUE;

  LimitAccount(String customer, LimitKind kind) {
    this.customer = customer;
    this.kind = kind;
  }

  String customer() {
    return customer;
  }

  LimitKind kind() {
    return kind;
  }

  LenderRotation lenderRotation() {
    return lenderRotation;
  }

  /** Returns whether the account needs no work until it is used again. */
  boolean isIdle() {
    return unmetDemand == 0 && lent() == 0 && borrowed() == 0;
  }

  Collection<PeerLoans> loans() {
    return loans.values();
  }

  PeerLoans loans(String peer) {
    return loans.computeIfAbsent(peer, PeerLoans::new);
  }

  void setShare(long share) {
    this.share = share;
  }

  boolean tryAcquire(long now) {
    long free = free();
    if (free - 1 <= share / LOW_WATERMARK_DIVISOR) {
      unmetDemand = Math.max(unmetDemand, share / LOW_WATERMARK_DIVISOR);
      lastShortageAt = now;
    }
    if (free <= 0) {
      unmetDemand++;
      return false;
    }
    inUse++;
    return true;
  }

  /** Returns whether units were scarce here at or after a time, or more is lent than the share. */
  boolean hadShortageSince(long time) {
    return lastShortageAt >= time || lent() > share;
  }

  void release() {
    inUse = Math.max(0, inUse - 1);
  }

  /** Returns the units that can be acquired now; negative if too many are in use. */
  long free() {
    return capacity() - overdue() - inUse;
  }

  /** Returns the units of this entry instance's share that may be lent now. */
  long lendable() {
    long spare = Math.min(free(), share - lent());
    return spare <= 0 ? 0 : (spare + 1) / 2;
  }

  /** Returns how many unused units of a loan may be returned before they are due. */
  long returnableEarly(PeerLoans loans) {
    long spare = Math.min(free(), loans.borrowed() - loans.overdue());
    return spare <= 0 ? 0 : (spare + 1) / 2;
  }

  /** Returns how many overdue units are free and must be returned. */
  long returnableOverdue() {
    return Math.max(0, Math.min(overdue(), capacity() - inUse));
  }

  long unmetDemand() {
    return unmetDemand;
  }

  void clearUnmetDemand() {
    unmetDemand = 0;
  }

  long lent() {
    return loans.values().stream().mapToLong(PeerLoans::lent).sum();
  }

  long borrowed() {
    return loans.values().stream().mapToLong(PeerLoans::borrowed).sum();
  }

  long overdue() {
    return loans.values().stream().mapToLong(PeerLoans::overdue).sum();
  }

  private long capacity() {
    return share - lent() + borrowed();
  }
}
