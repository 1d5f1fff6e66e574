package org.hemlockpick.pgm;

import java.io.IOException;

/** Runs one command with the values that its setters were given. */
interface Command {

  /**
   * Runs the command.
   *
   * @return exit status of the process
   * @throws IOException if a file or a connection fails
   * @throws InterruptedException if the thread is interrupted
   */
  int call() throws IOException, InterruptedException;
}
