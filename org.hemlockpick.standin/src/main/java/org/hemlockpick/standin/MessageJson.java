package org.hemlockpick.standin;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;

/** Converts Protobuf messages to JSON and back. */
final class MessageJson {
  private static final JsonFormat.Printer PRINTER =
      JsonFormat.printer().omittingInsignificantWhitespace();
  private static final JsonFormat.Parser PARSER = JsonFormat.parser().ignoringUnknownFields();

  private MessageJson() {}

  static String print(MessageOrBuilder message) {
    try {
      return PRINTER.print(message);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("message without a JSON form", e);
    }
  }

  /**
   * Parses JSON and merges it into a message builder.
   *
   * @throws CallException with status 400 if the text is not the JSON form of the message
   */
  static <B extends Message.Builder> B merge(String json, B builder) {
    try {
      PARSER.merge(json, builder);
      return builder;
    } catch (InvalidProtocolBufferException e) {
      String type = builder.getDescriptorForType().getName();
      throw new CallException(400, Messages.notTheMessage(type, String.valueOf(e.getMessage())));
    }
  }
}
