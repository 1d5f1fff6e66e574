package org.hemlockpick.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.Json;
import jakarta.json.stream.JsonGenerator;
import jakarta.json.stream.JsonGeneratorFactory;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hemlockpick.proto.Event;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jspecify.annotations.Nullable;

/**
 * Formats log records as JSON lines of bounded length; adds the fields of timeline events and
 * decisions. The texts of a record that is too long are truncated, which its field {@code
 * shortened} indicates.
 */
final class JsonLineFormatter {
  /**
   * Maximum length of a line with its newline, in bytes. Appends of two processes may interleave
   * above the system's PIPE_BUF of 4,096 bytes.
   */
  static final int MAX_LINE_BYTES = 4_000;

  /** Maximum number of throwables written of a cause chain; the last one is the root cause. */
  private static final int MAX_CAUSES = 4;

  /** Maximum number of throwables that are followed to find the root cause. */
  private static final int MAX_CHAIN = 32;

  /** Maximum number of stack frames written for a throwable. */
  private static final int MAX_FRAMES = 8;

  /** Characters of the text limit that allow for one stack frame. */
  private static final int CHARS_PER_FRAME = 64;

  /** Formats the message without the exception. */
  private static final PatternFormatter MESSAGE_ONLY = new PatternFormatter("%s");

  private static final JsonGeneratorFactory GENERATORS = Json.createGeneratorFactory(Map.of());

  private final @Nullable ProcessIdentity process;

  /**
   * Creates a formatter.
   *
   * @param process identity to write in each line; null if the process is not one of an entry
   *     instance
   */
  JsonLineFormatter(@Nullable ProcessIdentity process) {
    this.process = process;
  }

  /** Returns the line of a record with its newline. */
  byte[] format(ExtLogRecord logRecord) {
    int limit = MAX_LINE_BYTES;
    byte[] line = format(logRecord, limit);
    while (line.length > MAX_LINE_BYTES) {
      limit /= 2;
      line = format(logRecord, limit);
    }
    return line;
  }

  private byte[] format(ExtLogRecord logRecord, int limit) {
    StringWriter text = new StringWriter();
    Shortener texts = new Shortener(limit);
    try (JsonGenerator json = GENERATORS.createGenerator(text)) {
      json.writeStartObject();
      json.write("timestamp", logRecord.getInstant().toString());
      json.write("sequence", logRecord.getSequenceNumber());
      json.write("level", logRecord.getLevel().getName());
      json.write("loggerName", texts.shorten(logRecord.getLoggerName()));
      json.write("threadName", texts.shorten(logRecord.getThreadName()));
      json.write("processId", logRecord.getProcessId());
      json.write("message", texts.shorten(MESSAGE_ONLY.format(logRecord)));
      addFields(json, logRecord, texts);
      Throwable thrown = logRecord.getThrown();
      if (thrown != null) {
        addThrown(json, thrown, texts);
      }
      if (texts.hasShortened()) {
        json.write("shortened", true);
      }
      json.writeEnd();
    }
    return text.append('\n').toString().getBytes(UTF_8);
  }

  private void addFields(JsonGenerator json, ExtLogRecord logRecord, Shortener texts) {
    Object[] parameters = logRecord.getParameters();
    Object parameter = parameters != null && parameters.length == 1 ? parameters[0] : null;
    if (parameter instanceof TimelineLog.Line line) {
      addEvent(json, line.event(), texts);
      return;
    }
    if (process != null) {
      json.write("instance", texts.shorten(process.instance()));
      json.write("incarnation", texts.shorten(process.incarnation()));
    }
    if (parameter instanceof RateLimitedDecisionLog.Line line) {
      addDecision(json, line, texts);
    }
  }

  private static void addDecision(
      JsonGenerator json, RateLimitedDecisionLog.Line line, Shortener texts) {
    json.write("token", line.token());
    json.write("steadyMillis", line.monotonicMillis());
    json.write("wallMillis", line.wallMillis());
    json.write("kind", texts.shorten(line.kind()));
    json.write("subject", texts.shorten(line.subject()));
    json.write("outcome", texts.shorten(line.outcome()));
    json.write("reason", texts.shorten(line.reason()));
  }

  private static void addEvent(JsonGenerator json, Event event, Shortener texts) {
    json.write("instance", texts.shorten(event.getInstance()));
    json.write("incarnation", event.getIncarnation());
    json.write("clock", event.getClock());
    json.write("atMillis", event.getAtMillis());
    json.write("kind", texts.shorten(event.getKind()));
    json.write("subject", texts.shorten(event.getSubject()));
    json.write("detail", texts.shorten(event.getDetail()));
  }

  private static void addThrown(JsonGenerator json, Throwable thrown, Shortener texts) {
    json.writeStartArray("exception");
    for (Throwable cause : chain(thrown, texts)) {
      json.writeStartObject();
      json.write("type", texts.shorten(cause.getClass().getName()));
      json.write("message", texts.shorten(cause.getMessage()));
      json.writeStartArray("frames");
      for (StackTraceElement frame : texts.topFrames(cause.getStackTrace())) {
        json.write(texts.shorten(frame.toString()));
      }
      json.writeEnd();
      json.writeEnd();
    }
    json.writeEnd();
  }

  /** Returns a throwable and its causes; for a long chain the first ones and the root cause. */
  private static List<Throwable> chain(Throwable thrown, Shortener texts) {
    List<Throwable> chain = new ArrayList<>();
    for (Throwable t = thrown; t != null && chain.size() < MAX_CHAIN; t = t.getCause()) {
      chain.add(t);
    }
    if (chain.size() > MAX_CAUSES) {
      texts.markShortened();
      chain.subList(MAX_CAUSES - 1, chain.size() - 1).clear();
    }
    return chain;
  }

  /** Truncates texts and records whether anything was omitted. */
  private static final class Shortener {
    private static final String ELLIPSIS = "...";

    private final int limit;
    private boolean shortened;

    /**
     * Creates a shortener.
     *
     * @param limit maximum number of characters of a text
     */
    Shortener(int limit) {
      this.limit = Math.max(1, limit);
    }

    boolean hasShortened() {
      return shortened;
    }

    void markShortened() {
      shortened = true;
    }

    /** Returns a text or its beginning; an empty one for null. */
    String shorten(@Nullable String text) {
      if (text == null) {
        return "";
      }
      if (text.length() <= limit) {
        return text;
      }
      markShortened();
      int end = Character.isHighSurrogate(text.charAt(limit - 1)) ? limit - 1 : limit;
      return text.substring(0, end) + ELLIPSIS;
    }

    /** Returns the top frames of a stack trace. */
    List<StackTraceElement> topFrames(StackTraceElement[] frames) {
      int max = Math.min(MAX_FRAMES, limit / CHARS_PER_FRAME);
      if (frames.length > max) {
        markShortened();
      }
      return List.of(frames).subList(0, Math.min(max, frames.length));
    }
  }
}
