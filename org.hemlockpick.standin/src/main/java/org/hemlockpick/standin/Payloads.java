package org.hemlockpick.standin;

import com.google.protobuf.ByteString;
import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import java.io.StringReader;
import org.jspecify.annotations.Nullable;

/** Reads payloads that may contain instructions for a stand-in, and builds answers. */
final class Payloads {
  private Payloads() {}

  /** Returns the payload as a JSON object, or null if it is not one. */
  static @Nullable JsonObject parseObject(ByteString payload) {
    if (payload.isEmpty() || payload.byteAt(0) != '{') {
      return null;
    }
    try (JsonReader reader = Json.createReader(new StringReader(payload.toStringUtf8()))) {
      return reader.readObject();
    } catch (JsonException e) {
      return null;
    }
  }

  /** Returns an answer that contains the name of the worker and the body of the request. */
  static ByteString echo(String worker, ByteString body) {
    JsonObject answer =
        Json.createObjectBuilder().add("worker", worker).add("echo", body.toStringUtf8()).build();
    return ByteString.copyFromUtf8(answer.toString());
  }
}
