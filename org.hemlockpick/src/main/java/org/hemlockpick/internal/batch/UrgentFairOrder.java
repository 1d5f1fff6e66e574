package org.hemlockpick.internal.batch;

import java.util.Collection;
import java.util.Comparator;
import org.jspecify.annotations.Nullable;

/**
 * Takes urgent jobs first, then the customer that uses the least part of its limit, then the job
 * with the least slack to its deadline.
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
