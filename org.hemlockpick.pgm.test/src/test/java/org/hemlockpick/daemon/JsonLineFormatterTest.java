package org.hemlockpick.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import jakarta.json.Json;
import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import java.io.StringReader;
import java.util.List;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.Level;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonLineFormatterTest {
  private static final ProcessIdentity PROCESS = new ProcessIdentity("edge-kgn-a-1", "3k5x");

  private final JsonLineFormatter formatter = new JsonLineFormatter(PROCESS);

  private static ExtLogRecord entry(String message) {
    return new ExtLogRecord(Level.INFO, message, "Test");
  }

  private static ExtLogRecord decision(String subject, String reason) {
    ExtLogRecord entry = new ExtLogRecord(Level.INFO, "{0}", "Test");
    entry.setParameters(
        new Object[] {
          new RateLimitedDecisionLog.Line(995, 12, 34, "end", subject, "FAILED", reason)
        });
    return entry;
  }

  private JsonObject parse(ExtLogRecord entry) {
    byte[] line = formatter.format(entry);
    assertTrue(line.length <= JsonLineFormatter.MAX_LINE_BYTES, () -> line.length + " bytes");
    String text = new String(line, UTF_8);
    assertEquals(text.length() - 1, text.indexOf('\n'));
    try (JsonReader reader = Json.createReader(new StringReader(text))) {
      return reader.readObject();
    }
  }

  /** The log of an incident did not show which of two processes had written a line. */
  @Test
  void everyLineNamesItsProcess() {
    JsonObject line = parse(entry("hello"));
    assertEquals("hello", line.getString("message"));
    assertEquals("edge-kgn-a-1", line.getString("instance"));
    assertEquals("3k5x", line.getString("incarnation"));
    assertFalse(line.containsKey("shortened"));
  }

  @Test
  void decisionContainsTokenAndBothClocks() {
    JsonObject line = parse(decision("8c963e36bdcf0e2c.0.0.0", "attempt 1"));
    assertEquals(995, line.getInt("token"));
    assertEquals(12, line.getInt("steadyMillis"));
    assertEquals(34, line.getInt("wallMillis"));
    assertEquals("3k5x", line.getString("incarnation"));
    assertEquals("end", line.getString("kind"));
    assertEquals("attempt 1", line.getString("reason"));
  }

  /** Guards against lines cut off in the middle, as in the log of an incident. */
  @ParameterizedTest
  @ValueSource(strings = {"x", "\"", "\u0001", "\u00e4", "\ud83d\ude00", "\\", "\n"})
  void longLineIsShortenedAndStaysValid(String piece) {
    JsonObject line = parse(decision("8c963e36bdcf0e2c.0.0.0", piece.repeat(20_000)));
    assertTrue(line.getBoolean("shortened"));
    assertEquals("8c963e36bdcf0e2c.0.0.0", line.getString("subject"));
    assertTrue(line.getString("reason").startsWith(piece));
  }

  @Test
  void lineOfLongTextsInEveryFieldIsShortened() {
    String text = "\u0001".repeat(5_000);
    ExtLogRecord entry = decision(text, text);
    entry.setLoggerName(text);
    entry.setThreadName(text);
    entry.setThrown(new IllegalStateException(text, new IllegalArgumentException(text)));
    assertTrue(parse(entry).getBoolean("shortened"));
  }

  @Test
  void exceptionShowsItsTopFramesAndItsRootCause() {
    Throwable thrown = new java.io.IOException("root " + "r".repeat(3_000));
    for (int i = 0; i < 10; i++) {
      thrown = new IllegalStateException("level " + i, thrown);
    }
    ExtLogRecord entry = entry("failed");
    entry.setThrown(thrown);
    JsonObject line = parse(entry);
    JsonArray chain = line.getJsonArray("exception");
    assertTrue(line.getBoolean("shortened"));
    assertEquals("level 9", chain.getJsonObject(0).getString("message"));
    assertTrue(chain.getJsonObject(0).getJsonArray("frames").getString(0).contains("Test"));
    List<JsonObject> causes = chain.getValuesAs(JsonObject.class);
    assertEquals("java.io.IOException", causes.get(causes.size() - 1).getString("type"));
    assertTrue(causes.get(causes.size() - 1).getString("message").startsWith("root "));
  }
}
