package org.hemlockpick.cell;

import org.hemlockpick.errors.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Answer to a caller.
 *
 * @param code result
 * @param state state of the job; only for a query of it
 * @param waiting number of waiting jobs; only for a query of a queue
 * @param retryAfterMillis time after which the caller should retry; 0 if there is no need to
 */
public record CallerReply(
    ResultCode code, @Nullable JobState state, int waiting, long retryAfterMillis) {

  /** Time after which a caller that is asked to retry should do so. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Returns an answer that consists of a code only. */
  public static CallerReply of(ResultCode code) {
    return new CallerReply(code, null, 0, 0);
  }

  static CallerReply of(JobState state) {
    return new CallerReply(ResultCode.DONE, state, 0, 0);
  }

  static CallerReply waiting(int count) {
    return new CallerReply(ResultCode.DONE, null, count, 0);
  }

  /** Returns an answer that asks for a retry, as the call was not, or possibly not, executed. */
  public static CallerReply retryLater(ResultCode code) {
    return new CallerReply(code, null, 0, RETRY_AFTER_MILLIS);
  }

  /** Returns the state, or the code if there is none, for the log. */
  String outcome() {
    return state == null ? code.name() : state.name();
  }
}
