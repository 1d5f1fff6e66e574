package org.hemlockpick.cell;

import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.ProgressRecord;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a stored job is the one that a caller asks for: a job of the queue in force at
 * its address, or one that was submitted there when another queue had the address.
 */
final class JobOwnership {
  private final JobAddress address;

  /** The queue in force at the address; null if there is none. */
  private final @Nullable Queue queue;

  private final boolean isServed;

  JobOwnership(JobAddress address, Configuration inForce) {
    this.address = address;
    this.queue = address.queue(inForce);
    this.isServed = inForce.route(address.host(), address.path()).isPresent();
  }

  /** Returns the identifier of the job. */
  String job() {
    return address.job();
  }

  /** Returns what a caller is told who asks for a job that is not stored, or not here. */
  ResultCode unknownJob() {
    return isServed ? ResultCode.UNKNOWN_JOB : ResultCode.UNKNOWN_SERVICE;
  }

  /** Returns whether a job that has ended is the one that is asked for. */
  boolean covers(ProgressRecord ended) {
    if (ended.getQueue().isEmpty()) {
      // An earlier version did not store the queue.
      return queue != null;
    }
    return isQueue(ended.getQueue()) || address.isAt(ended.getHost(), ended.getPathPrefix());
  }

  /** Returns whether an open job is the one that is asked for. */
  boolean covers(StoredRow row) {
    Submission submission = JobRows.submission(job(), row.value()).orElse(null);
    if (submission == null) {
      return queue != null;
    }
    Queue terms = submission.terms();
    return isQueue(submission.queue())
        || (terms != null && address.isAt(terms.host(), terms.pathPrefix()));
  }

  private boolean isQueue(String name) {
    return queue != null && queue.name().equals(name);
  }
}
