package org.hemlockpick.process;

import jakarta.json.Json;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import java.io.StringReader;

/** Reads lines that hold one JSON object each. */
final class JsonLines {
  private JsonLines() {}

  /**
   * Parses a line.
   *
   * @throws jakarta.json.JsonException if the line holds anything else
   */
  static JsonObject parse(String line) {
    try (JsonReader reader = Json.createReader(new StringReader(line))) {
      return reader.readObject();
    }
  }
}
