package org.hemlockpick.cell;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.cell.rows.BoundedRecords;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.SetAsideJob;
import org.hemlockpick.proto.SetAsideRecord;
import org.jspecify.annotations.Nullable;

/**
 * The jobs whose own rows the table service refuses in every form, and whose ends hold up those of
 * other jobs. Their progress is stored in one row of the cell instead, so that the ends can be
 * confirmed to the workers.
 */
final class SetAsideJobs {
  private final String cell;
  private final int rowBytes;

  /** Progress in the row that the earlier holder left, by job. */
  private final Map<String, ProgressRecord> inherited = new HashMap<>();

  private final Set<Job> members = new LinkedHashSet<>();

  /** Whether the row may hold jobs that are no members any more. */
  private boolean outdated;

  SetAsideJobs(String cell, int rowBytes) {
    this.cell = cell;
    this.rowBytes = rowBytes;
  }

  /** Restores the row that the earlier holder left. */
  void restore(SetAsideRecord record) {
    record.getJobsList().forEach(job -> inherited.put(job.getJob(), job.getProgress()));
  }

  /** Handles that the jobs are loaded: those that belong here have been added. */
  void onJobsLoaded() {
    outdated = !inherited.isEmpty();
    inherited.clear();
  }

  /** Returns the progress of a job in the row that the earlier holder left; null if none is. */
  @Nullable ProgressRecord inherited(String job) {
    return inherited.get(job);
  }

  boolean contains(Job job) {
    return members.contains(job);
  }

  Set<Job> members() {
    return members;
  }

  void add(Job job) {
    members.add(job);
    job.rows().setSetAside();
  }

  /** Removes a job, as its own rows are stored or removed; returns whether it was a member. */
  @CanIgnoreReturnValue
  boolean remove(Job job) {
    boolean was = members.remove(job);
    outdated |= was;
    return was;
  }

  /** Handles that the table service refuses the row: no job is a member any more. */
  void onRefused() {
    members.clear();
    outdated = false;
  }

  /** Returns whether the row has to be written though no member has changed. */
  boolean isOutdated() {
    return outdated;
  }

  /** Returns the row with the progress of all members. Those without room are none any more. */
  Write write(long leaseVersion) {
    List<Job> all = new ArrayList<>(members);
    List<SetAsideJob> entries = new ArrayList<>();
    for (Job job : all) {
      ProgressRecord progress = JobRows.progress(job);
      entries.add(
          SetAsideJob.newBuilder()
              .setJob(job.id())
              .setProgress(job.rows().smallest(progress, leaseVersion))
              .build());
    }
    List<SetAsideJob> included = BoundedRecords.fitting(entries, rowBytes);
    Set<String> ids = new LinkedHashSet<>();
    included.forEach(entry -> ids.add(entry.getJob()));
    members.removeIf(job -> !ids.contains(job.id()));
    outdated = false;
    SetAsideRecord record =
        SetAsideRecord.newBuilder().setFormat(JobRows.FORMAT).addAllJobs(included).build();
    return new Write(CellRows.setAside(cell), record.toByteString());
  }

  /** Records that the row may not be stored as it was written last. */
  void setOutdated() {
    outdated = true;
  }
}
