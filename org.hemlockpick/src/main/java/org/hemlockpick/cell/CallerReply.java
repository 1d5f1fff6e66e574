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

  /** Time after which a caller that was refused should come back, in milliseconds. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Returns an answer that says no more than its code. */
  public static CallerReply of(ResultCode code) {
    return new CallerReply(code, null, 0, 0);
  }

  static CallerReply of(JobState state) {
    return new CallerReply(ResultCode.DONE, state, 0, 0);
  }

  static CallerReply waiting(int count) {
    return new CallerReply(ResultCode.DONE, null, count, 0);
  }

  /** Returns an answer that tells to come back, as the call was not or perhaps not carried out. */
  public static CallerReply retryLater(ResultCode code) {
    return new CallerReply(code, null, 0, RETRY_AFTER_MILLIS);
  }
}
