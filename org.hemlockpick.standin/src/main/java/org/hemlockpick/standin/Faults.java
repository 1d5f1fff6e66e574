package org.hemlockpick.standin;

import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonValue;
import java.io.StringReader;

/**
 * The faults that a stand-in shows.
 *
 * @param down every call fails with status 503
 * @param delayMillis time by which every call is put off, in milliseconds
 * @param loseAnswers calls take effect, but the connection is closed without an answer
 * @param silent no call is answered, on any connection
 * @param silentConnections no call is answered on the connections open when the fault is set
 */
public record Faults(
    boolean down, int delayMillis, boolean loseAnswers, boolean silent, boolean silentConnections) {
  /** Largest delay, in milliseconds. */
  static final int MAX_DELAY_MILLIS = 600_000;

  /** Returns the absence of faults. */
  public static Faults none() {
    return new Faults(false, 0, false, false, false);
  }

  /**
   * Reads faults from a JSON object whose fields are named like the components; a field left out is
   * a fault that does not show.
   *
   * @throws CallException with status 400 if the text is anything else
   */
  static Faults parse(String json) {
    try (JsonReader reader = Json.createReader(new StringReader(json))) {
      return of(reader.readObject());
    } catch (JsonException | ClassCastException | ArithmeticException e) {
      throw new CallException(400, Messages.badFaults(String.valueOf(e.getMessage())));
    }
  }

  private static Faults of(JsonObject object) {
    Faults faults = none();
    for (String name : object.keySet()) {
      faults = faults.with(name, object.get(name));
    }
    return faults;
  }

  private Faults with(String name, JsonValue value) {
    return switch (name) {
      case "down" -> new Faults(bool(value), delayMillis, loseAnswers, silent, silentConnections);
      case "delayMillis" -> new Faults(down, delay(value), loseAnswers, silent, silentConnections);
      case "loseAnswers" -> new Faults(down, delayMillis, bool(value), silent, silentConnections);
      case "silent" -> new Faults(down, delayMillis, loseAnswers, bool(value), silentConnections);
      case "silentConnections" -> new Faults(down, delayMillis, loseAnswers, silent, bool(value));
      default -> throw new CallException(400, Messages.unknownFault(name));
    };
  }

  private static boolean bool(JsonValue value) {
    if (value != JsonValue.TRUE && value != JsonValue.FALSE) {
      throw new CallException(400, Messages.badFaults("neither true nor false: " + value));
    }
    return value == JsonValue.TRUE;
  }

  private static int delay(JsonValue value) {
    int millis = ((JsonNumber) value).intValueExact();
    if (millis < 0 || millis > MAX_DELAY_MILLIS) {
      throw new CallException(400, Messages.badFaults("delay out of range: " + millis));
    }
    return millis;
  }
}
