package org.hemlockpick.pgm;

/** Says what is wrong with the arguments where the parser alone can't tell. */
final class UsageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
