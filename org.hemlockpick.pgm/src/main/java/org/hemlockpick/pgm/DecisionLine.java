package org.hemlockpick.pgm;

import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import java.io.StringReader;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Comparator;
import java.util.Optional;

/**
 * One decision line from the log of an entry instance.
 *
 * @param timestamp wall-clock time at the instance, as text that sorts by time
 * @param instance entry instance that made the decision
 * @param incarnation identifies the process of the entry instance; empty in lines of older versions
 * @param token fencing token if the process held the cell, otherwise 0
 * @param kind kind of decision
 * @param subject job, task, worker or instance that the decision concerns
 * @param outcome what was decided
 * @param reason inputs on which the decision was based
 */
record DecisionLine(
    String timestamp,
    String instance,
    String incarnation,
    long token,
    String kind,
    String subject,
    String outcome,
    String reason) {
  /** Start of each log line. A truncated line may be followed by another one on the same line. */
  private static final String LINE_START = "{\"timestamp\"";

  /** Orders lines by wall-clock time. The clocks of instances may differ by some milliseconds. */
  static final Comparator<DecisionLine> BY_TIME =
      Comparator.comparing(DecisionLine::instant).thenComparing(DecisionLine::timestamp);

  /**
   * Returns the decision in a line, or empty if there is none. Text before the JSON object is
   * skipped, including the rest of a truncated line.
   */
  static Optional<DecisionLine> parse(String line) {
    int start = line.indexOf('{');
    Optional<DecisionLine> found = Optional.empty();
    while (start >= 0 && found.isEmpty()) {
      found = parseObject(line.substring(start));
      start = line.indexOf(LINE_START, start + 1);
    }
    return found;
  }

  private static Optional<DecisionLine> parseObject(String text) {
    try (JsonReader reader = Json.createReader(new StringReader(text))) {
      JsonObject object = reader.readObject();
      if (!object.containsKey("kind") || !object.containsKey("outcome")) {
        return Optional.empty();
      }
      return Optional.of(
          new DecisionLine(
              object.getString("timestamp", ""),
              object.getString("instance", ""),
              object.getString("incarnation", ""),
              object.get("token") instanceof JsonNumber number ? number.longValue() : 0,
              object.getString("kind", ""),
              object.getString("subject", ""),
              object.getString("outcome", ""),
              object.getString("reason", "")));
    } catch (JsonException e) {
      return Optional.empty();
    }
  }

  /** Returns the parsed timestamp, or the epoch (1970) if it cannot be parsed. */
  private Instant instant() {
    try {
      return Instant.parse(timestamp);
    } catch (DateTimeParseException e) {
      return Instant.EPOCH;
    }
  }

  /** Returns whether the subject is the job with this ID or one of its tasks. */
  boolean isAbout(String id) {
    return subject.equals(id) || subject.startsWith(id + ".");
  }

  @Override
  public String toString() {
    String process = incarnation.isEmpty() ? instance : instance + "/" + incarnation;
    String holder = token == 0 ? "" : "token " + token;
    return String.format(
            "%s  %-28s  %-10s  %-8s  %s  %s  (%s)",
            timestamp, process, holder, kind, subject, outcome, reason)
        .stripTrailing();
  }
}
