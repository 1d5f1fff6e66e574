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

/** Configures the logging of the process: one JSON object per line. */
public final class Logging {
  /** Loggers of verbose libraries; referenced here, as the log manager holds them weakly. */
  private static final List<Logger> LIBRARIES =
      List.of(Logger.getLogger("io.micronaut"), Logger.getLogger("io.netty"));

  /** Logs that a process without a network card uses a random number as its hardware address. */
  private static final Logger HARDWARE_ADDRESS =
      Logger.getLogger("io.netty.util.internal.MacAddressUtil");

  /** The HTTP client; its endpoint already logs the outcome of each failed call with the reason. */
  private static final Logger HTTP_CLIENT =
      Logger.getLogger("io.micronaut.http.client.netty.DefaultHttpClient");

  private static final String NOT_CONNECTED = "Failed to connect to remote";

  /** Logs a stack trace for each call whose connection closes after the call was abandoned. */
  private static final Logger DROPPED_ERRORS = Logger.getLogger("reactor.core.publisher.Operators");

  private static final int MAX_QUEUED_LINES = 4_096;

  private static final Logger TIMELINE = Logger.getLogger(TimelineLog.LOGGER_NAME);

  private Logging() {}

  /**
   * Replaces all log handlers by one that writes to the standard error stream.
   *
   * @param minLevel lowest level that is written
   */
  public static void install(Level minLevel) {
    install(minLevel, handler(FileDescriptor.err, null));
  }

  /**
   * Replaces all log handlers by one that writes to the standard output stream and never blocks:
   * lines are dropped while its queue is full.
   *
   * @param minLevel lowest level that is written
   * @param process identity to write in each line
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

  /** Returns whether a dropped error is not the end of a call, which its endpoint has logged. */
  static boolean isUnreported(LogRecord line) {
    return !(line.getThrown() instanceof HttpClientException);
  }

  /**
   * Configures where the timeline is written.
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
