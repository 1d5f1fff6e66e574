package org.hemlockpick.daemon;

import io.micronaut.http.client.exceptions.HttpClientException;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jspecify.annotations.Nullable;

/** Sets up the logs of the process: one JSON object a line on the standard error stream. */
public final class Logging {
  /** Loggers of libraries that write much; kept here, as the log manager holds them weakly. */
  private static final List<Logger> LIBRARIES =
      List.of(Logger.getLogger("io.micronaut"), Logger.getLogger("io.netty"));

  /** A process without a network card takes a random number in place of its hardware address. */
  private static final Logger HARDWARE_ADDRESS =
      Logger.getLogger("io.netty.util.internal.MacAddressUtil");

  /** The HTTP client; what became of each call is logged by its endpoint, with the reason. */
  private static final Logger HTTP_CLIENT =
      Logger.getLogger("io.micronaut.http.client.netty.DefaultHttpClient");

  private static final String NOT_CONNECTED = "Failed to connect to remote";

  /** Writes a stack trace for each call whose connection ends after the call was given up. */
  private static final Logger DROPPED_ERRORS = Logger.getLogger("reactor.core.publisher.Operators");

  private static final int MAX_QUEUED_LINES = 4_096;

  private static final Logger TIMELINE = Logger.getLogger(TimelineLog.LOGGER_NAME);

  private Logging() {}

  /**
   * Replaces the handlers of all logs by one to the standard error stream.
   *
   * @param minLevel least level that is written
   */
  public static void install(Level minLevel) {
    install(minLevel, handler(FileDescriptor.err, null));
  }

  /**
   * Replaces the handlers of all logs by one to the standard output stream that never blocks: lines
   * that find its queue full are dropped.
   *
   * @param minLevel least level that is written
   * @param process stands in each line
   */
  public static void installNonBlocking(Level minLevel, ProcessIdentity process) {
    AsyncHandler handler = new AsyncHandler(MAX_QUEUED_LINES);
    handler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
    handler.addHandler(handler(FileDescriptor.out, process));
    install(minLevel, handler);
  }

  private static Handler handler(FileDescriptor target, @Nullable ProcessIdentity process) {
    return new LineHandler(new FileOutputStream(target), new JsonLineFormatter(process));
  }

  private static void install(Level minLevel, Handler handler) {
    Logger root = Logger.getLogger("");
    for (Handler previous : root.getHandlers()) {
      root.removeHandler(previous);
    }
    root.addHandler(handler);
    root.setLevel(minLevel);
    LIBRARIES.forEach(library -> library.setLevel(Level.WARNING));
    HARDWARE_ADDRESS.setLevel(Level.SEVERE);
    HTTP_CLIENT.setFilter(line -> !NOT_CONNECTED.equals(line.getMessage()));
    DROPPED_ERRORS.setFilter(Logging::isUnreported);
  }

  /** Tells whether a dropped error is no end of a call: its endpoint has logged that. */
  static boolean isUnreported(LogRecord line) {
    return !(line.getThrown() instanceof HttpClientException);
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
    FileOutputStream stream = new FileOutputStream(file.toFile(), true);
    TIMELINE.addHandler(new LineHandler(stream, new JsonLineFormatter(null)));
  }
}
