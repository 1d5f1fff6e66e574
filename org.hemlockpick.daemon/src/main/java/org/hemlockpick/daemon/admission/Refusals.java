package org.hemlockpick.daemon.admission;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import org.hemlockpick.errors.ResultCode;

/** Encodes the responses that are sent without the HTTP codec. */
final class Refusals {
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

  private Refusals() {}

  static ByteBuf headTooLarge() {
    return encode(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "", new byte[0]);
  }

  static ByteBuf of(CallerPolicy policy, ResultCode code) {
    String retry = code.httpStatus() == SERVICE_UNAVAILABLE ? "Retry-After: 1\r\n" : "";
    return encode(HttpResponseStatus.valueOf(code.httpStatus()), retry, policy.encode(code));
  }

  static ByteBuf continueRequest() {
    return Unpooled.copiedBuffer(CONTINUE, StandardCharsets.US_ASCII);
  }

  private static ByteBuf encode(HttpResponseStatus status, String header, byte[] body) {
    String type = body.length == 0 ? "" : "Content-Type: application/json\r\n";
    String head =
        "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\nConnection: close\r\n\r\n"
            .formatted(status, header, type, body.length);
    return Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.US_ASCII), body);
  }
}
