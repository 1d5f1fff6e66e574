package org.hemlockpick.pgm;

/** Entry point of the command line. */
public final class Main {
  private Main() {}

  /** Runs the command that the arguments select and exits with its status. */
  public static void main(String[] args) {
    System.exit(new CommandLine(Console.system()).run(args));
  }
}
