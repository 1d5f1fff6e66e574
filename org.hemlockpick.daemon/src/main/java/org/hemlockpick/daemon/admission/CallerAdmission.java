package org.hemlockpick.daemon.admission;

import io.netty.channel.Channel;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.hemlockpick.cell.RequestLimits;

/** Applies the limits on callers of one process. May be used on any thread. */
public final class CallerAdmission {
  private final AdmissionSettings settings;
  private final CallerPolicy policy;
  private final RefusalCounter counter;
  private final LongSupplier clock;
  private final ByteBudget budget;
  private final ConnectionTable connections;

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
    this.connections =
        new ConnectionTable(Math.min(settings.connections(), DescriptorLimit.forCallers()));
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
