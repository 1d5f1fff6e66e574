package org.hemlockpick.pgm;

import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import java.io.StringReader;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Comparator;
import java.util.Optional;

/**
 * A decision in a log of an entry instance.
 *
 * @param timestamp time of day at the instance, in the order of its text
 * @param instance entry instance that decided
 * @param kind kind of decision
 * @param subject job, task, worker or instance that it is about
 * @param outcome what was decided
 * @param reason inputs that decided it
 */
record DecisionLine(
    String timestamp, String instance, String kind, String subject, String outcome, String reason) {

  /** Order of the times of day; clocks of instances may differ by some milliseconds. */
  static final Comparator<DecisionLine> ORDER =
      Comparator.comparing(DecisionLine::instant).thenComparing(DecisionLine::timestamp);

  /**
   * Returns the decision in a line; empty if it holds none. Text before the object is passed over.
   */
  static Optional<DecisionLine> parse(String line) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try (JsonReader reader = Json.createReader(new StringReader(line.substring(start)))) {
      JsonObject object = reader.readObject();
      if (!object.containsKey("kind") || !object.containsKey("outcome")) {
        return Optional.empty();
      }
      return Optional.of(
          new DecisionLine(
              object.getString("timestamp", ""),
              object.getString("instance", ""),
              object.getString("kind", ""),
              object.getString("subject", ""),
              object.getString("outcome", ""),
              object.getString("reason", "")));
    } catch (JsonException e) {
      return Optional.empty();
    }
  }

  /** Returns the time of day; that of 1970 if the text holds none. */
  private Instant instant() {
    try {
      return Instant.parse(timestamp);
    } catch (DateTimeParseException e) {
      return Instant.EPOCH;
    }
  }

  /** Tells whether it is about a job or one of its tasks. */
  boolean isAbout(String id) {
    return subject.equals(id) || subject.startsWith(id + ".");
  }

  @Override
  public String toString() {
    return String.format(
            "%s  %-14s  %-8s  %s  %s  (%s)", timestamp, instance, kind, subject, outcome, reason)
        .stripTrailing();
  }
}
