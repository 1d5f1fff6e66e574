package org.hemlockpick.internal.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.contract.Contract;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.proto.LimitKind;
import org.hemlockpick.proto.Loan;
import org.hemlockpick.proto.LoanAsk;
import org.hemlockpick.proto.LoanReturn;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.util.RendezvousHashing;

/**
 * Enforces the limits of contracts across all entry instances.
 *
 * <p>Each member of the roster has a share of every limit and may lend unused units to peers. A
 * lender counts a unit as its own again only when the borrower has returned it or was replaced,
 * never because time has passed, so that the units in use everywhere never exceed the limit while
 * contract and roster stay the same. {@code docs/design/limits.md} gives the reasoning.
 *
 * <p>A tick costs time only for accounts with loans or unmet demand. Memory grows with the number
 * of customers that were ever active here.
 */
public final class LimitSystem implements LoopSystem {
  /** Term of a loan in milliseconds; after it, units must be returned as soon as they are free. */
  static final int LOAN_TERM_MILLIS = 5_000;

  /** Interval at which a lender renews a loan or calls it in, in milliseconds. */
  private static final int RENEWAL_INTERVAL_MILLIS = 2_000;

  private record Key(String customer, LimitKind kind) {}

  private final Map<Key, LimitAccount> accounts = new HashMap<>();
  private final Set<LimitAccount> active = new LinkedHashSet<>();
  private final Map<String, TokenBucket> rates = new HashMap<>();
  private final Map<String, Integer> ranks = new HashMap<>();
  private final InstanceSettings settings;
  private final Outbox outbox;
  private final PeerTable peers;
  private final ContractTable contracts;

  /** Creates the system with nothing in use. */
  public LimitSystem(
      InstanceSettings settings, Outbox outbox, PeerTable peers, ContractTable contracts) {
    this.settings = settings;
    this.outbox = outbox;
    this.peers = peers;
    this.contracts = contracts;
  }

  /**
   * Acquires one unit of a limit.
   *
   * @return false if the customer has no unit left at this entry instance or no contract
   */
  public boolean tryAcquire(String customer, LimitKind kind) {
    if (limit(customer, kind) == 0) {
      return false;
    }
    LimitAccount account = account(customer, kind);
    boolean acquired = account.tryAcquire(outbox.now());
    if (account.unmetDemand() > 0) {
      active.add(account);
    }
    return acquired;
  }

  /** Releases one unit acquired with {@link #tryAcquire}. */
  public void release(String customer, LimitKind kind) {
    account(customer, kind).release();
  }

  /**
   * Acquires one request from the customer's rate.
   *
   * @return false if the rate is used up at this entry instance or the customer has no contract
   */
  public boolean tryAcquireRate(String customer) {
    Contract contract = contracts.find(customer);
    if (contract == null || contract.requestsPerSecond() == 0) {
      return false;
    }
    double perSecond = (double) contract.requestsPerSecond() / settings.roster().size();
    long now = outbox.now();
    return rates
        .computeIfAbsent(customer, key -> new TokenBucket(perSecond, now))
        .tryAcquire(perSecond, now);
  }

  /** Handles a message about loans; ignores other messages. */
  public void on(PeerMessage message) {
    switch (message.getBodyCase()) {
      case LOAN_ASK -> onAsk(message, message.getLoanAsk());
      case LOAN -> onLoan(message, message.getLoan());
      case LOAN_RETURN -> onReturn(message, message.getLoanReturn());
      default -> {
        // Not about loans.
      }
    }
  }

  @Override
  public void run(long now) {
    for (LimitAccount account : List.copyOf(active)) {
      refreshShare(account);
      run(account, now);
      if (account.isIdle()) {
        active.remove(account);
      }
    }
  }

  private void run(LimitAccount account, long now) {
    for (PeerLoans loans : account.loans()) {
      updateIncarnation(loans);
      loans.updateOverdue(now);
    }
    for (PeerLoans loans : account.loans()) {
      returnOverdue(account, loans);
      renewOrCallIn(account, loans, now);
    }
    askForUnits(account, now);
  }

  private void onAsk(PeerMessage message, LoanAsk ask) {
    if (!isLimit(ask.getKind()) || limit(ask.getCustomer(), ask.getKind()) == 0) {
      return;
    }
    LimitAccount account = account(ask.getCustomer(), ask.getKind());
    PeerLoans loans = currentLoans(account, message);
    boolean forThisIncarnation = ask.getToIncarnation() == outbox.incarnation();
    long knownTotal = forThisIncarnation ? ask.getKnownTotal() : 0;
    if (knownTotal < loans.lentTotal()) {
      // The message of the newest loan is still in flight or was lost.
      sendLoan(account, loans, LOAN_TERM_MILLIS);
      return;
    }
    long units = Math.min(ask.getUnits(), account.lendable());
    if (units <= 0) {
      return;
    }
    loans.lend(units);
    sendLoan(account, loans, LOAN_TERM_MILLIS);
    active.add(account);
  }

  private void onLoan(PeerMessage message, Loan loan) {
    boolean forThisIncarnation = loan.getToIncarnation() == outbox.incarnation();
    if (!forThisIncarnation || !isLimit(loan.getKind())) {
      return;
    }
    LimitAccount account = account(loan.getCustomer(), loan.getKind());
    PeerLoans loans = currentLoans(account, message);
    boolean moreLent = loan.getLentTotal() > loans.borrowedTotal();
    if (!loans.recordLoan(loan.getLentTotal(), outbox.now() + loan.getDueMillis())) {
      return;
    }
    active.add(account);
    if (moreLent) {
      account.lenderRotation().reset();
      return;
    }
    // A renewal. The reply also makes up for a return message that was lost.
    loans.returnUnits(account.returnableEarly(loans));
    sendReturn(account, loans);
  }

  private void onReturn(PeerMessage message, LoanReturn returned) {
    boolean forThisIncarnation = returned.getToIncarnation() == outbox.incarnation();
    if (!forThisIncarnation || !isLimit(returned.getKind())) {
      return;
    }
    LimitAccount account = account(returned.getCustomer(), returned.getKind());
    currentLoans(account, message).recordReturn(returned.getReturnedTotal());
  }

  private void returnOverdue(LimitAccount account, PeerLoans loans) {
    long units = Math.min(loans.overdue(), account.returnableOverdue());
    if (units <= 0) {
      return;
    }
    loans.returnUnits(units);
    sendReturn(account, loans);
  }

  private void renewOrCallIn(LimitAccount account, PeerLoans loans, long now) {
    if (loans.isResendDue(now)) {
      int dueMillis = account.hadShortageSince(now - LOAN_TERM_MILLIS) ? 0 : LOAN_TERM_MILLIS;
      sendLoan(account, loans, dueMillis);
    }
  }

  private void askForUnits(LimitAccount account, long now) {
    if (account.unmetDemand() == 0 || !account.lenderRotation().isDue(now)) {
      return;
    }
    List<Peer> candidates = candidates(now);
    if (!candidates.isEmpty()) {
      sendAsk(account, account.lenderRotation().next(candidates, now));
    }
    account.clearUnmetDemand();
  }

  /** Returns the live peers, those of this availability zone first. */
  private List<Peer> candidates(long now) {
    List<Peer> candidates = new ArrayList<>(peers.aliveInZone(now));
    peers.alive(now).stream()
        .filter(peer -> !peer.zone().equals(settings.zone()))
        .forEach(candidates::add);
    return candidates;
  }

  private void sendAsk(LimitAccount account, Peer peer) {
    PeerLoans loans = account.loans(peer.name());
    updateIncarnation(loans);
    LoanAsk.Builder ask =
        LoanAsk.newBuilder()
            .setCustomer(account.customer())
            .setKind(account.kind())
            .setUnits((int) Math.min(Integer.MAX_VALUE, account.unmetDemand()))
            .setKnownTotal(loans.borrowedTotal())
            .setToIncarnation(loans.incarnation());
    outbox.send(peer.name(), PeerMessage.newBuilder().setLoanAsk(ask));
  }

  private void sendLoan(LimitAccount account, PeerLoans loans, int dueMillis) {
    loans.setNextResendAt(outbox.now() + RENEWAL_INTERVAL_MILLIS);
    Loan.Builder loan =
        Loan.newBuilder()
            .setCustomer(account.customer())
            .setKind(account.kind())
            .setLentTotal(loans.lentTotal())
            .setDueMillis(dueMillis)
            .setToIncarnation(loans.incarnation());
    outbox.send(loans.peer(), PeerMessage.newBuilder().setLoan(loan));
  }

  private void sendReturn(LimitAccount account, PeerLoans loans) {
    LoanReturn.Builder returned =
        LoanReturn.newBuilder()
            .setCustomer(account.customer())
            .setKind(account.kind())
            .setReturnedTotal(loans.returnedTotal())
            .setToIncarnation(loans.incarnation());
    outbox.send(loans.peer(), PeerMessage.newBuilder().setLoanReturn(returned));
  }

  private PeerLoans currentLoans(LimitAccount account, PeerMessage message) {
    PeerLoans loans = account.loans(message.getFrom());
    loans.updateIncarnation(message.getIncarnation());
    return loans;
  }

  private void updateIncarnation(PeerLoans loans) {
    Peer peer = peers.find(loans.peer());
    if (peer != null) {
      loans.updateIncarnation(peer.incarnation());
    }
  }

  private LimitAccount account(String customer, LimitKind kind) {
    LimitAccount account =
        accounts.computeIfAbsent(new Key(customer, kind), key -> new LimitAccount(customer, kind));
    refreshShare(account);
    return account;
  }

  private void refreshShare(LimitAccount account) {
    account.setShare(share(account.customer(), limit(account.customer(), account.kind())));
  }

  /** Returns this roster member's part of a limit; the parts of all members add up to the limit. */
  private int share(String customer, int limit) {
    int members = settings.roster().size();
    int rank = ranks.computeIfAbsent(customer, this::rank);
    return limit / members + (rank < limit % members ? 1 : 0);
  }

  private int rank(String customer) {
    List<String> names = settings.roster().stream().map(RosterMember::name).toList();
    return RendezvousHashing.rank(customer, names).indexOf(settings.name());
  }

  private int limit(String customer, LimitKind kind) {
    Contract contract = contracts.find(customer);
    if (contract == null) {
      return 0;
    }
    return switch (kind) {
      case REQUESTS_IN_FLIGHT -> contract.requestsInFlight();
      case BATCH_TASKS -> contract.batch().tasks();
      case LIMIT_UNSPECIFIED, UNRECOGNIZED -> 0;
    };
  }

  private static boolean isLimit(LimitKind kind) {
    return kind == LimitKind.REQUESTS_IN_FLIGHT || kind == LimitKind.BATCH_TASKS;
  }
}
