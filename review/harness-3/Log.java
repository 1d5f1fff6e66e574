import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a play, and its clock. */
final class Log implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Log(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Time since the start in milliseconds. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String text) {
    out.printf("%8.3f  %s%n", now() / 1e3, text);
  }

  /** Adds a line that is also shown. */
  synchronized void say(String text) {
    add(text);
    System.out.printf("%8.3f  %s%n", now() / 1e3, text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
