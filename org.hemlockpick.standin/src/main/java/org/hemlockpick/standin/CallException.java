package org.hemlockpick.standin;

/** Refuses a call; the message is returned to the caller. */
final class CallException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int status;

  /**
   * Creates an exception for a refused call.
   *
   * @param status HTTP status
   * @param text what is wrong with the call
   */
  CallException(int status, String text) {
    super(text);
    this.status = status;
  }

  Reply reply() {
    return Reply.error(status, String.valueOf(getMessage()));
  }
}
