package org.hemlockpick.cell;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.hemlockpick.proto.CellRecord;
import org.hemlockpick.proto.QueueLength;

/** Creates the row of the lease of a cell, which holds the numbers of waiting jobs. */
final class LeaseRecords {
  private final CellSettings settings;
  private final CellLease.Acquired lease;
  private final JobTable jobs;

  /** Returns whether all jobs are in the table. */
  private final BooleanSupplier areJobsLoaded;

  LeaseRecords(
      CellSettings settings,
      CellLease.Acquired lease,
      JobTable jobs,
      BooleanSupplier areJobsLoaded) {
    this.settings = settings;
    this.lease = lease;
    this.jobs = jobs;
    this.areJobsLoaded = areJobsLoaded;
  }

  /**
   * Returns the number of jobs of each queue of which no task has started. Until the jobs are
   * loaded, these are the numbers that the previous holder stored.
   */
  ImmutableMap<String, Integer> waitingJobs() {
    if (!areJobsLoaded.getAsBoolean()) {
      return lease.waitingJobs();
    }
    Map<String, Integer> waiting = new TreeMap<>();
    for (Job job : jobs.open()) {
      if (job.state() == JobState.QUEUED) {
        waiting.merge(job.submission().queue(), 1, Integer::sum);
      }
    }
    return ImmutableMap.copyOf(waiting);
  }

  /** Returns the row as it is to be written now. */
  CellRecord current() {
    CellRecord.Builder record =
        CellRecord.newBuilder()
            .setFormat(JobRows.FORMAT)
            .setHolder(settings.holderName())
            .setGeneration(lease.generation())
            .setReplacedVersion(lease.replacedVersion());
    waitingJobs()
        .forEach(
            (queue, count) ->
                record.addWaiting(QueueLength.newBuilder().setQueue(queue).setWaiting(count)));
    return record.build();
  }
}
