package org.hemlockpick.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.logging.Level;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockpick.daemon.CellSettingsReader;
import org.hemlockpick.daemon.EntryDaemon;
import org.hemlockpick.daemon.Logging;
import org.hemlockpick.daemon.ProcessIdentity;
import org.hemlockpick.daemon.ReloadSignal;
import org.hemlockpick.daemon.Settings;
import org.hemlockpick.daemon.SettingsFault;
import org.hemlockpick.daemon.SettingsReader;
import org.hemlockpick.platform.PlatformDaemon;

/** Runs an entry instance until a signal or an operator stops it. */
final class ServeCommand implements Command {
  static final String NAME = "serve";

  private final Console console;
  private Path settings = Path.of("");

  ServeCommand(Console console) {
    this.console = console;
  }

  static void configure(Subparser command) {
    command.addArgument("--settings").metavar("FILE").required(true).help("settings in TOML");
    command.epilog(Messages.examples("hemlockpick serve --settings examples/zone/entry-a-1.toml"));
  }

  static ServeCommand of(Namespace values, Console console) {
    return new ServeCommand(console).setSettings(Path.of(values.getString("settings")));
  }

  /** Sets the settings file. */
  ServeCommand setSettings(Path file) {
    settings = file;
    return this;
  }

  @Override
  public int call() throws IOException, InterruptedException {
    if (CellSettingsReader.isCellSettings(settings)) {
      return serveCell();
    }
    // Such a process is no platform's, which would send the signal when its settings change.
    ReloadSignal.release();
    var read = SettingsReader.read(settings);
    return read.isLeft() ? reportFaults(read.getLeft()) : serve(read.get());
  }

  private int serveCell() throws InterruptedException {
    var read = CellSettingsReader.read(settings);
    if (read.isLeft()) {
      return reportFaults(read.getLeft());
    }
    ProcessIdentity process = ProcessIdentity.create(read.get().name());
    Logging.installNonBlocking(Level.INFO, process);
    PlatformDaemon.run(read.get(), process);
    return ExitStatus.OK;
  }

  private int reportFaults(List<SettingsFault> faults) {
    faults.forEach(console.err()::println);
    return ExitStatus.USAGE;
  }

  private static int serve(Settings settings) throws IOException {
    Logging.install(Level.INFO);
    EntryDaemon daemon = EntryDaemon.start(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
    try {
      daemon.ended().join();
      return ExitStatus.OK;
    } catch (CompletionException e) {
      return ExitStatus.FAILURE;
    } finally {
      // Stops gracefully instead of closing, so that callers with open connections are notified.
      daemon.stop();
    }
  }

  /**
   * Stops the daemon and exits with a status that shows whether the stop was complete. Without the
   * halt, the virtual machine would exit with the status of the signal.
   */
  private static void stop(EntryDaemon daemon) {
    boolean complete = daemon.stop();
    Runtime.getRuntime().halt(complete ? ExitStatus.OK : ExitStatus.FAILURE);
  }
}
