package org.hemlockpick.cell;

import com.google.common.base.Throwables;

/** Receives decisions for the log. Implementations must not block. */
@FunctionalInterface
public interface DecisionLog {
  /**
   * Logs a decision.
   *
   * @param kind short name of the kind of decision
   * @param subject identifier of the job, task, worker or instance it is about
   * @param outcome what was decided
   * @param reason the inputs that decided it, with their age or version
   */
  void decided(String kind, String subject, String outcome, String reason);

  /**
   * Logs that the handling of an input failed, with the stack trace.
   *
   * @param input description of the input
   */
  default void failed(String kind, String subject, String input, RuntimeException cause) {
    String reason = input + ", " + Throwables.getStackTraceAsString(cause);
    decided(kind, subject, "handling failed", reason);
  }

  /**
   * Returns a log that adds the fencing token of a holder to its decisions, including those that
   * the holder logs after it was deposed.
   */
  default DecisionLog withToken(long token) {
    return this;
  }
}
