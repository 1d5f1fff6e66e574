package org.hemlockpick.daemon;

import org.hemlockpick.errors.ResultCode;

/** Thrown when a call is refused before it reaches the loop. */
final class BadInputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;

  BadInputException(ResultCode code, String message) {
    super(message);
    this.code = code;
  }

  BadInputException(String message) {
    this(ResultCode.BAD_REQUEST, message);
  }

  ResultCode code() {
    return code;
  }

  String detail() {
    return String.valueOf(getMessage());
  }
}
