package org.hemlockpick.pgm;

import java.io.IOException;

/** A command, configured by its setters. */
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
