package org.hemlockpick.standin;

import com.google.protobuf.MessageOrBuilder;
import jakarta.json.Json;

/**
 * The answer to a {@link Call}.
 *
 * @param status HTTP status
 * @param body JSON text
 */
public record Reply(int status, String body) {
  /** Returns an answer with status 200 whose body is the message as JSON. */
  static Reply of(MessageOrBuilder message) {
    return new Reply(200, MessageJson.print(message));
  }

  /** Returns an answer that contains only an error text. */
  static Reply error(int status, String text) {
    String body = Json.createObjectBuilder().add("error", text).build().toString();
    return new Reply(status, body);
  }
}
