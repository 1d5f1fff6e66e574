package org.hemlockpick.cell;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The jobs of the cell by identifier, including those that have ended until they are swept. */
final class JobTable {
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Job> open = new LinkedHashMap<>();

  @Nullable Job get(String id) {
    return jobs.get(id);
  }

  void add(Job job) {
    jobs.put(job.id(), job);
    if (!job.state().isFinal()) {
      open.put(job.id(), job);
    }
  }

  /** Removes a job that has ended from the open jobs. */
  void close(Job job) {
    open.remove(job.id());
  }

  void remove(Job job) {
    jobs.remove(job.id());
    open.remove(job.id());
  }

  /** Returns all jobs, in the order in which they were added. */
  Collection<Job> all() {
    return jobs.values();
  }

  /** Returns the jobs that have not ended, in the order in which they were added. */
  Collection<Job> open() {
    return open.values();
  }

  /** Returns the number of jobs of each queue of which no task has started. */
  ImmutableMap<String, Integer> waitingByQueue() {
    Map<String, Integer> waiting = new TreeMap<>();
    for (Job job : open()) {
      if (job.state() == JobState.QUEUED) {
        waiting.merge(job.submission().queue(), 1, Integer::sum);
      }
    }
    return ImmutableMap.copyOf(waiting);
  }

  Optional<Task> task(TaskId id) {
    Job job = jobs.get(id.job());
    return job == null ? Optional.empty() : job.task(id);
  }
}
