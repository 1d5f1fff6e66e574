package org.hemlockpick.pgm;

import java.io.IOException;
import java.util.logging.Level;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockpick.daemon.Logging;

/** Runs a whole zone in this process and shows how it handles two requests and a batch job. */
final class DemoCommand implements Command {
  private final Console console;

  DemoCommand(Console console) {
    this.console = console;
  }

  static void configure(Subparser command) {
    command.epilog(Messages.examples("hemlockpick demo"));
  }

  static DemoCommand of(Namespace values, Console console) {
    return new DemoCommand(console);
  }

  @Override
  public int call() throws IOException, InterruptedException {
    Logging.install(Level.WARNING);
    try (DemoZone zone = new DemoZone()) {
      new DemoScript(zone, console).run();
    }
    return ExitStatus.OK;
  }
}
