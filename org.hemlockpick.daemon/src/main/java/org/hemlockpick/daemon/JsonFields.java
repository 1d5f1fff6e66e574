package org.hemlockpick.daemon;

import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Reads the typed fields of a call's JSON object; a value of another type is bad input. */
final class JsonFields {
  private final JsonObject object;
  private final Set<String> known = new HashSet<>();

  private JsonFields(JsonObject object) {
    this.object = object;
  }

  /**
   * Parses a request body.
   *
   * @param body bytes of the body; null for none
   * @throws BadInputException if the body is not one JSON object in UTF-8
   */
  static JsonFields parse(byte @Nullable [] body) {
    if (parseValue(body == null ? new byte[0] : body) instanceof JsonObject object) {
      return new JsonFields(object);
    }
    throw new BadInputException(Messages.BODY_NOT_OBJECT);
  }

  private static JsonValue parseValue(byte[] body) {
    try {
      String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
      return JsonText.parse(text).orElseThrow(JsonFields::notJson);
    } catch (CharacterCodingException e) {
      throw notJson();
    }
  }

  private static BadInputException notJson() {
    return new BadInputException(Messages.BODY_NOT_JSON);
  }

  /**
   * Returns a whole number from 0 to {@code max}, or {@code defaultValue} if the field is missing.
   */
  long number(String name, long defaultValue, long max) {
    JsonValue value = value(name);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof JsonNumber number && number.isIntegral()) {
      return inRange(name, number, max);
    }
    throw invalidField(name, Messages.NOT_WHOLE_NUMBER);
  }

  /** Returns a string, or an empty one if the field is missing. */
  String text(String name) {
    JsonValue value = value(name);
    if (value == null) {
      return "";
    }
    if (value instanceof JsonString text) {
      return text.getString();
    }
    throw invalidField(name, Messages.NOT_A_STRING);
  }

  /** Returns a string that must be present and not empty. */
  String requiredText(String name) {
    String text = text(name);
    if (text.isEmpty()) {
      throw invalidField(name, Messages.FIELD_MISSING);
    }
    return text;
  }

  /** Returns a boolean, or false if the field is missing. */
  boolean flag(String name) {
    JsonValue value = value(name);
    if (value == null || value == JsonValue.FALSE) {
      return false;
    }
    if (value == JsonValue.TRUE) {
      return true;
    }
    throw invalidField(name, Messages.NOT_A_BOOLEAN);
  }

  /** Returns a value of any type, or null if the field is missing. */
  @Nullable JsonValue value(String name) {
    known.add(name);
    return object.get(name);
  }

  /** Rejects fields that have not been read. */
  void rejectUnknownFields() {
    for (String name : object.keySet()) {
      if (!known.contains(name)) {
        throw invalidField(name, Messages.FIELD_UNKNOWN);
      }
    }
  }

  static BadInputException invalidField(String name, String problem) {
    return new BadInputException(Messages.field(name, problem));
  }

  private static long inRange(String name, JsonNumber number, long max) {
    try {
      long value = number.longValueExact();
      if (value >= 0 && value <= max) {
        return value;
      }
    } catch (ArithmeticException e) {
      // Outside the range of long, so outside any narrower one.
    }
    throw invalidField(name, Messages.outOfRange("0", Long.toString(max)));
  }
}
