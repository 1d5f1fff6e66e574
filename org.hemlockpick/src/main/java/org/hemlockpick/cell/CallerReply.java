package org.hemlockpick.cell;

import org.hemlockpick.errors.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Answer to a caller.
 *
 * @param code result
 * @param state state of the job; only for a query of it
 * @param waiting number of waiting jobs; only for a query of a queue
 * @param retryAfterMillis when to come back; 0 if there is no need to
 */
public record CallerReply(
    ResultCode code, @Nullable JobState state, int waiting, long retryAfterMillis) {

  static CallerReply of(ResultCode code) {
    return new CallerReply(code, null, 0, 0);
  }

  static CallerReply of(JobState state) {
    return new CallerReply(ResultCode.DONE, state, 0, 0);
  }

  static CallerReply waiting(int count) {
    return new CallerReply(ResultCode.DONE, null, count, 0);
  }

  /** Refuses a call as not run. */
  static CallerReply refused(ResultCode code, long retryAfterMillis) {
    return new CallerReply(code, null, 0, retryAfterMillis);
  }
}
