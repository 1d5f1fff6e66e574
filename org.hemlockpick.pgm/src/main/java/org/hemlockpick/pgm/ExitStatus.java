package org.hemlockpick.pgm;

/** Exit statuses of the process. */
public final class ExitStatus {
  /** The command succeeded. */
  public static final int OK = 0;

  /** The command failed or found faults in its input. */
  public static final int FAILURE = 1;

  /** The arguments or the settings are invalid; nothing was done. */
  public static final int USAGE = 2;

  private ExitStatus() {}
}
