package org.hemlockpick.daemon.admission;

import io.netty.channel.Channel;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.hemlockpick.cell.RequestLimits;

/** Applies the limits on callers of one process. May be used on any thread. */
public final class CallerAdmission {
  /** Sockets that may be open while they are closed for newer ones. */
  private static final int CLOSING = 64;

  private final AdmissionSettings settings;
  private final CallerPolicy policy;
  private final RefusalCounter counter;
  private final LongSupplier clock;
  private final ByteBudget budget;
  private final ConnectionTable connections;
  private final AcceptLimit acceptLimit;

  /**
   * Creates the limits of a process.
   *
   * @param clock monotonic clock in milliseconds
   */
  public CallerAdmission(
      AdmissionSettings settings, CallerPolicy policy, RefusalCounter counter, LongSupplier clock) {
    this.settings = settings;
    this.policy = policy;
    this.counter = counter;
    this.clock = clock;
    this.budget = new ByteBudget(settings.budgetBytes(Runtime.getRuntime().maxMemory()));
    int descriptors = DescriptorLimit.forCallers();
    int limit = Math.min(settings.connections(), Math.max(1, descriptors - CLOSING));
    this.connections = new ConnectionTable(limit);
    this.acceptLimit = new AcceptLimit(Math.min(descriptors, limit + CLOSING));
  }

  /**
   * Counts a connection that was accepted and is not registered yet.
   *
   * @return whether it may be kept; if not, the caller closes it
   */
  public boolean accept(Channel channel) {
    if (!acceptLimit.tryOpen()) {
      count(RefusalReason.CONNECTIONS);
      return false;
    }
    var unused = channel.closeFuture().addListener(closed -> acceptLimit.onClosed());
    return true;
  }

  /**
   * Applies the limits to a connection whose pipeline has an HTTP codec and has not read anything.
   *
   * @return whether bytes were read that have not been passed to the codec; used on the event loop
   */
  public BooleanSupplier install(Channel channel) {
    return new CallerGate(this, channel).install();
  }

  /** Returns the number of open connections. */
  public long openConnections() {
    return connections.size();
  }

  /** Returns the bytes that requests hold. */
  public long bodyBytes() {
    return budget.usedBytes();
  }

  ByteBudget budget() {
    return budget;
  }

  ConnectionTable connections() {
    return connections;
  }

  AdmissionSettings settings() {
    return settings;
  }

  CallerPolicy policy() {
    return policy;
  }

  RequestLimits limits() {
    return settings.lower(policy.limits());
  }

  long nowMillis() {
    return clock.getAsLong();
  }

  void count(RefusalReason reason) {
    counter.count(reason);
  }
}
