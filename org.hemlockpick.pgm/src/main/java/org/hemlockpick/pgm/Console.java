package org.hemlockpick.pgm;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out stream for results
 * @param err stream for errors and progress
 */
public record Console(PrintStream out, PrintStream err) {

  /** Returns the standard streams of the process. */
  static Console system() {
    return new Console(System.out, System.err);
  }
}
