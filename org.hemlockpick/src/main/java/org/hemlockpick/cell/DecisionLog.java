package org.hemlockpick.cell;

import com.google.common.base.Throwables;

/** Takes what is decided, for the log. Must not block. */
@FunctionalInterface
public interface DecisionLog {
  /**
   * Writes a decision.
   *
   * @param kind short name of the kind of decision
   * @param subject identifier of the job, task, worker or instance it is about
   * @param outcome what was decided
   * @param reason the inputs that decided it, with their age or version
   */
  void decided(String kind, String subject, String outcome, String reason);

  /**
   * Writes that something could not be handled, with the place of the fault.
   *
   * @param input what could not be handled
   */
  default void failed(String kind, String subject, String input, RuntimeException cause) {
    String reason = input + ", " + Throwables.getStackTraceAsString(cause);
    decided(kind, subject, "handling failed", reason);
  }

  /**
   * Returns a log whose decisions carry the fencing token of a holder. They carry it also after the
   * holder was deposed, as long as it goes on writing.
   */
  default DecisionLog withToken(long token) {
    return this;
  }
}
