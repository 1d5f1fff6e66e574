package org.hemlockpick.pgm;

/** Reports invalid arguments that the parser itself does not detect. */
final class UsageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
