package org.hemlockpick.internal.batch;

import java.util.Collection;
import java.util.Comparator;
import org.jspecify.annotations.Nullable;

/**
 * Orders urgent jobs first, then by the share of its limit that the customer uses, lowest first,
 * then by slack to the deadline, least first.
 */
final class UrgentFairOrder implements TaskOrder {

  @Override
  public @Nullable Job next(Collection<Job> waiting, CustomerTaskUnits units, long now) {
    return waiting.stream()
        .min(
            Comparator.comparing((Job job) -> !job.isUrgent())
                .thenComparingDouble(job -> units.usedShare(job.customer()))
                .thenComparingLong(job -> job.slackMillis(now))
                .thenComparing(job -> job.id))
        .orElse(null);
  }
}
