package org.hemlockpick.pgm;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import java.io.StringReader;
import java.util.Comparator;
import java.util.Optional;
import org.hemlockpick.proto.Event;

/**
 * One timeline entry. The natural order is by the Lamport clock, so that causes precede effects;
 * entries with equal clocks do not affect each other.
 *
 * @param event what happened
 */
record TimelineEntry(Event event) implements Comparable<TimelineEntry> {
  private static final JsonFormat.Parser PARSER = JsonFormat.parser().ignoringUnknownFields();
  private static final Comparator<TimelineEntry> CAUSAL_ORDER =
      Comparator.<TimelineEntry>comparingLong(entry -> entry.event.getClock())
          .thenComparing(entry -> entry.event.getInstance())
          .thenComparingLong(entry -> entry.event.getIncarnation());

  /**
   * Returns the entry in a log line, or empty if there is none. The fields are in the line itself
   * or in its {@code message}.
   */
  static Optional<TimelineEntry> parse(String line) {
    return parseEvent(line).or(() -> message(line).flatMap(TimelineEntry::parseEvent));
  }

  private static Optional<TimelineEntry> parseEvent(String json) {
    Event.Builder event = Event.newBuilder();
    try {
      PARSER.merge(json, event);
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
    boolean isComplete = !event.getKind().isEmpty() && !event.getInstance().isEmpty();
    return isComplete ? Optional.of(new TimelineEntry(event.build())) : Optional.empty();
  }

  private static Optional<String> message(String line) {
    try (JsonReader reader = Json.createReader(new StringReader(line))) {
      return Optional.ofNullable(reader.readObject().getString("message", null));
    } catch (JsonException e) {
      return Optional.empty();
    }
  }

  JsonObject toJson() {
    return Json.createObjectBuilder()
        .add("clock", event.getClock())
        .add("instance", event.getInstance())
        .add("incarnation", event.getIncarnation())
        .add("atMillis", event.getAtMillis())
        .add("kind", event.getKind())
        .add("subject", event.getSubject())
        .add("detail", event.getDetail())
        .build();
  }

  @Override
  public int compareTo(TimelineEntry other) {
    return CAUSAL_ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return String.format(
            "%8d  %-12s  %-20s  %s  %s",
            event.getClock(),
            event.getInstance(),
            event.getKind(),
            event.getSubject(),
            event.getDetail())
        .stripTrailing();
  }
}
