package org.hemlockpick.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;
import org.jboss.logmanager.handlers.FileHandler;

/** Sets up the logs of the process: one JSON object a line on the standard error stream. */
public final class Logging {
  /** Loggers of libraries that write much; kept here, as the log manager holds them weakly. */
  private static final List<Logger> LIBRARIES =
      List.of(Logger.getLogger("io.micronaut"), Logger.getLogger("io.netty"));

  private static final int QUEUED_LINES = 4_096;

  private static final Logger TIMELINE = Logger.getLogger(TimelineLog.LOGGER_NAME);

  private Logging() {}

  /**
   * Replaces the handlers of all logs by one to the standard error stream.
   *
   * @param least least level that is written
   */
  public static void install(Level least) {
    install(least, new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, new JsonLineFormatter()));
  }

  /**
   * Replaces the handlers of all logs by one to the standard output stream that never blocks: lines
   * that find its queue full are dropped.
   *
   * @param least least level that is written
   */
  public static void installUnblocking(Level least) {
    AsyncHandler handler = new AsyncHandler(QUEUED_LINES);
    handler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
    handler.addHandler(
        new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new JsonLineFormatter()));
    install(least, handler);
  }

  private static void install(Level least, Handler handler) {
    Logger root = Logger.getLogger("");
    for (Handler former : root.getHandlers()) {
      root.removeHandler(former);
    }
    root.addHandler(handler);
    root.setLevel(least);
    LIBRARIES.forEach(library -> library.setLevel(Level.WARNING));
  }

  /**
   * Sets where the time line is written.
   *
   * @throws IOException if its file cannot be written
   */
  static void install(Settings.Timeline timeline) throws IOException {
    if (timeline.level() == Settings.Timeline.Level.OFF) {
      TIMELINE.setLevel(Level.OFF);
      return;
    }
    TIMELINE.setLevel(Level.INFO);
    Path file = timeline.file();
    if (file == null) {
      return;
    }
    Path folder = file.toAbsolutePath().getParent();
    if (folder != null) {
      Files.createDirectories(folder);
    }
    TIMELINE.setUseParentHandlers(false);
    TIMELINE.addHandler(new FileHandler(new JsonLineFormatter(), file.toFile(), true));
  }
}
