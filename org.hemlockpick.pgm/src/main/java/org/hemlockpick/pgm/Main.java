package org.hemlockpick.pgm;

import org.hemlockpick.daemon.ReloadSignal;

/** Entry point of the command line. */
public final class Main {
  private Main() {}

  /** Runs the command that the arguments select and exits with its status. */
  public static void main(String[] args) {
    if (args.length > 0 && args[0].equals(ServeCommand.NAME)) {
      // Before anything else: the signal may arrive while the process still reads its settings.
      ReloadSignal.catchEarly();
    }
    System.exit(new CommandLine(Console.system()).run(args));
  }
}
