package org.hemlockpick.daemon.admission;

/** Counts refusals; called on several threads. */
@FunctionalInterface
public interface RefusalCounter {
  /** Counts one refusal. */
  void count(RefusalReason reason);
}
