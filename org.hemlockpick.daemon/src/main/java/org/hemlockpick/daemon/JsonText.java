package org.hemlockpick.daemon;

import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonValue;
import jakarta.json.stream.JsonParser;
import java.io.StringReader;
import java.util.NoSuchElementException;
import java.util.Optional;

/** Parses JSON texts. */
final class JsonText {
  private JsonText() {}

  /** Returns the value of a text; empty if the text is not exactly one JSON value. */
  static Optional<JsonValue> parse(String text) {
    try (JsonParser parser = Json.createParser(new StringReader(text))) {
      parser.next();
      JsonValue value = parser.getValue();
      return parser.hasNext() ? Optional.empty() : Optional.of(value);
    } catch (JsonException | IllegalStateException | NoSuchElementException e) {
      return Optional.empty();
    }
  }
}
