package org.hemlockpick.cell;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
 * confirmed to the workers. What that row says of a job stays there until the job's own rows are
 * stored, as ends were confirmed that no other row tells of.
 */
final class SetAsideJobs {
  private final String cell;
  private final int rowBytes;

  /** Entries in the row that the earlier holder left, by job, until the jobs are loaded. */
  private final Map<String, SetAsideJob> inherited = new HashMap<>();

  private final Set<Job> members = new LinkedHashSet<>();

  /** Entries of members in the row as it is stored. */
  private Map<Job, SetAsideJob> stored = new LinkedHashMap<>();

  /** Entries in the row as it was written last. */
  private Map<Job, SetAsideJob> written = new LinkedHashMap<>();

  /** Whether the row may hold jobs that are no members any more, or not be as it was written. */
  private boolean outdated;

  /**
   * The row, as it is to be written.
   *
   * @param newest members of which it holds the newest progress
   */
  record Row(Write write, List<Job> newest) {}

  SetAsideJobs(String cell, int rowBytes) {
    this.cell = cell;
    this.rowBytes = rowBytes;
  }

  /** Restores the row that the earlier holder left. */
  void restore(SetAsideRecord record) {
    record.getJobsList().forEach(entry -> inherited.put(entry.getJob(), entry));
  }

  /** Returns the progress of a job in the row that the earlier holder left; null if none is. */
  @Nullable ProgressRecord inherited(String job) {
    SetAsideJob entry = inherited.get(job);
    return entry == null ? null : entry.getProgress();
  }

  /** Adds a job that the earlier holder had set aside. */
  void addInherited(Job job) {
    SetAsideJob entry = inherited.get(job.id());
    if (entry != null) {
      stored.put(job, entry);
      add(job);
    }
  }

  /** Handles that the jobs are loaded: those that belong here have been added. */
  void onJobsLoaded() {
    outdated |= !inherited.isEmpty();
    inherited.clear();
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
    stored.remove(job);
    outdated |= was;
    return was;
  }

  /** Returns whether the row has to be written though no member has changed. */
  boolean isOutdated() {
    return outdated;
  }

  /** Records that the row may not be stored as it was written last. */
  void setOutdated() {
    outdated = true;
  }

  /**
   * Returns the row with the newest progress of the members, in their order. One for whose newest
   * progress there is no room keeps what is stored, or is no member any more.
   */
  Row row(long leaseVersion) {
    written = new LinkedHashMap<>(stored);
    List<Job> newest = new ArrayList<>();
    for (Job job : members) {
      SetAsideJob before = written.put(job, entry(job, leaseVersion));
      if (BoundedRecords.fit(written.values(), rowBytes)) {
        newest.add(job);
      } else if (before == null) {
        written.remove(job);
      } else {
        written.put(job, before);
      }
    }
    members.retainAll(written.keySet());
    outdated = false;
    SetAsideRecord record =
        SetAsideRecord.newBuilder().setFormat(JobRows.FORMAT).addAllJobs(written.values()).build();
    return new Row(new Write(CellRows.setAside(cell), record.toByteString()), newest);
  }

  private static SetAsideJob entry(Job job, long leaseVersion) {
    return SetAsideJob.newBuilder()
        .setJob(job.id())
        .setProgress(job.rows().smallest(JobRows.progress(job), leaseVersion))
        .build();
  }

  /** Records that the row is stored as it was written last. */
  void onStored() {
    stored = written;
    stored.keySet().retainAll(members);
  }

  /** Handles that the table service refuses the row: it stays as it is stored. */
  void onRefused() {
    members.retainAll(stored.keySet());
    outdated = false;
  }
}
