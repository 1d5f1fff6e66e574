import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Clock, lock and record that all stand-ins of one case share. */
final class World {
  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final List<String> violations = new ArrayList<>();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          4,
          work -> {
            Thread thread = new Thread(work, "timer");
            thread.setDaemon(true);
            return thread;
          });

  World(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
  }

  /** Returns the time since the start of the case, in milliseconds. */
  long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** Writes a line to the record. */
  synchronized void log(String format, Object... arguments) {
    String line = String.format("%9.3f ", now() / 1_000.0) + String.format(format, arguments);
    record.println(line);
    record.flush();
  }

  /** Records that a rule was broken. */
  synchronized void broken(String format, Object... arguments) {
    String what = String.format(format, arguments);
    violations.add(what);
    log("BROKEN %s", what);
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  void schedule(long delayMillis, Runnable action) {
    timer.schedule(() -> runSafely(action), delayMillis, TimeUnit.MILLISECONDS);
  }

  void repeat(long intervalMillis, Runnable action) {
    timer.scheduleWithFixedDelay(
        () -> runSafely(action), intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void runSafely(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      log("a stand-in failed: %s", e);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
