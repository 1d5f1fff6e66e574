package org.hemlockpick.standin;

import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonValue;
import java.io.StringReader;

/**
 * The faults that are injected into a stand-in.
 *
 * @param down whether every call fails with status 503
 * @param delayMillis delay before every call is handled, in milliseconds
 * @param loseAnswers whether calls take effect, but the connection is closed without an answer
 * @param silent whether no call is answered, on any connection
 * @param silentConnections whether no call is answered on the connections that are open when the
 *     fault is set
 */
public record Faults(
    boolean down, int delayMillis, boolean loseAnswers, boolean silent, boolean silentConnections) {
  /** Maximum delay, in milliseconds. */
  static final int MAX_DELAY_MILLIS = 600_000;

  /** Returns the value without any fault. */
  public static Faults none() {
    return new Faults(false, 0, false, false, false);
  }

  /**
   * Parses a JSON object whose fields are named after the components. A missing field means that
   * the fault is not injected.
   *
   * @throws CallException with status 400 if the text is not such an object
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
