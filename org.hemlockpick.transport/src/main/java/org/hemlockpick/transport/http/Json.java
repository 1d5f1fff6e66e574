package org.hemlockpick.transport.http;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import java.nio.charset.StandardCharsets;

/** Converts messages to JSON and back. */
final class Json {
  private static final JsonFormat.Printer PRINTER =
      JsonFormat.printer().omittingInsignificantWhitespace();
  private static final JsonFormat.Parser PARSER = JsonFormat.parser().ignoringUnknownFields();

  private Json() {}

  static byte[] bytes(MessageOrBuilder message) {
    try {
      return PRINTER.print(message).getBytes(StandardCharsets.UTF_8);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("message cannot be converted to JSON", e);
    }
  }

  /**
   * Merges JSON into a message; throws InvalidProtocolBufferException if it does not fit the
   * message.
   */
  static <B extends Message.Builder> B merge(String json, B builder)
      throws InvalidProtocolBufferException {
    PARSER.merge(json, builder);
    return builder;
  }
}
