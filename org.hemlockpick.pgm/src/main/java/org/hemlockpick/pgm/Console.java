package org.hemlockpick.pgm;

import java.io.PrintStream;

/**
 * Holds where a command writes.
 *
 * @param out stream for results
 * @param err stream for faults and progress
 */
public record Console(PrintStream out, PrintStream err) {

  /** Returns the console of the process. */
  static Console system() {
    return new Console(System.out, System.err);
  }
}
