package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.Level;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LineHandlerTest {
  private static final int LINES = 3_000;
  private static final int MAX_LENGTH = 5_000;

  @TempDir private Path folder = Path.of("");

  /** Guards against lines inside lines of another process, as in the log of an incident. */
  @Test
  void linesOfConcurrentWritersAreNotInterleaved() throws IOException {
    Path file = folder.resolve("entry.log");
    List<CompletableFuture<Void>> writers = new ArrayList<>();
    for (String name : List.of("first", "second", "third")) {
      writers.add(CompletableFuture.runAsync(() -> write(file, name)));
    }
    writers.forEach(CompletableFuture::join);
    Set<String> seen = new HashSet<>();
    for (String line : Files.readAllLines(file)) {
      var object = JsonText.parse(line).orElseThrow(() -> new AssertionError(line)).asJsonObject();
      String message = object.getString("message");
      seen.add(object.getString("incarnation") + message.substring(0, message.indexOf(' ')));
    }
    assertEquals(3 * LINES, seen.size());
  }

  private static void write(Path file, String name) {
    SplittableRandom random = new SplittableRandom(20261204);
    // Each writer opens the file separately, as separate processes do.
    try (OutputStream stream = new FileOutputStream(file.toFile(), true)) {
      LineHandler handler = handler(stream, name);
      for (int i = 0; i < LINES; i++) {
        handler.publish(entry(i + " " + "x".repeat(random.nextInt(MAX_LENGTH))));
      }
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void eachRecordIsWrittenWithOneCall() {
    List<Integer> writes = new ArrayList<>();
    OutputStream stream =
        new OutputStream() {
          @Override
          public void write(int value) {
            throw new AssertionError("a single byte is written");
          }

          @Override
          public void write(byte[] bytes, int offset, int length) {
            writes.add(length);
          }
        };
    LineHandler handler = handler(stream, "only");
    handler.publish(entry("short"));
    handler.publish(entry("x".repeat(100_000)));
    assertEquals(2, writes.size());
    assertTrue(writes.get(1) <= JsonLineFormatter.MAX_LINE_BYTES, writes::toString);
  }

  private static LineHandler handler(OutputStream stream, String incarnation) {
    return new LineHandler(stream, new JsonLineFormatter(new ProcessIdentity("n", incarnation)));
  }

  private static ExtLogRecord entry(String message) {
    return new ExtLogRecord(Level.INFO, message, "Test");
  }
}
