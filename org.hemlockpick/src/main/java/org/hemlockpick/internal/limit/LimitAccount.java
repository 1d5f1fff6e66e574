package org.hemlockpick.internal.limit;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hemlockpick.proto.LimitKind;

/** Holds the units of one limit of one customer at this entry instance. */
final class LimitAccount {
  /** Part of the share, as its divisor, below which more units are asked for ahead of need. */
  private static final int LOW_DIVISOR = 8;

  private final String customer;
  private final LimitKind kind;
  private final LoanSearch search = new LoanSearch();
  private final Map<String, PeerLoans> loans = new LinkedHashMap<>();
  private long share;
  private long inUse;
  private long wanted;
  private long shortAt = Long.MIN_VALUE;

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

  LoanSearch search() {
    return search;
  }

  /** Tells whether the account needs no work until it is used again. */
  boolean isIdle() {
    return wanted == 0 && lent() == 0 && held() == 0;
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

  boolean tryTake(long now) {
    long free = free();
    if (free - 1 <= share / LOW_DIVISOR) {
      wanted = Math.max(wanted, share / LOW_DIVISOR);
      shortAt = now;
    }
    if (free <= 0) {
      wanted++;
      return false;
    }
    inUse++;
    return true;
  }

  /** Tells whether units were short here at or after a time, or more is lent than the share. */
  boolean wasShortSince(long time) {
    return shortAt >= time || lent() > share;
  }

  void give() {
    inUse = Math.max(0, inUse - 1);
  }

  /** Returns the units that may be taken into use now; negative when too many are in use. */
  long free() {
    return capacity() - due() - inUse;
  }

  /** Returns the units of the own share that may be lent now. */
  long lendable() {
    long spare = Math.min(free(), share - lent());
    return spare <= 0 ? 0 : (spare + 1) / 2;
  }

  /** Returns how many units of a loan may be returned before they are due, for want of use. */
  long spare(PeerLoans loans) {
    long spare = Math.min(free(), loans.held() - loans.due());
    return spare <= 0 ? 0 : (spare + 1) / 2;
  }

  /** Returns how many due units are free and must be returned. */
  long returnable() {
    return Math.max(0, Math.min(due(), capacity() - inUse));
  }

  long wanted() {
    return wanted;
  }

  void clearWanted() {
    wanted = 0;
  }

  long lent() {
    return loans.values().stream().mapToLong(PeerLoans::lent).sum();
  }

  long held() {
    return loans.values().stream().mapToLong(PeerLoans::held).sum();
  }

  long due() {
    return loans.values().stream().mapToLong(PeerLoans::due).sum();
  }

  private long capacity() {
    return share - lent() + held();
  }
}
