package org.hemlockpick.pgm;

/** Names the exit statuses of the process. */
public final class ExitStatus {
  /** The command did what it was asked to do. */
  public static final int OK = 0;

  /** The command failed, or what it checked has faults. */
  public static final int FAILURE = 1;

  /** The arguments or the settings are wrong; nothing was done. */
  public static final int USAGE = 2;

  private ExitStatus() {}
}
