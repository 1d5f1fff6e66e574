package org.hemlockpick.daemon.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.hemlockpick.cell.RequestLimits;
import org.hemlockpick.errors.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what one connection is allowed to make a process hold. */
class CallerGateTest {
  private static final int MAX_HEAD = 512;
  private static final int MAX_BODY = 100_000;
  private static final int BUDGET = 200_000;
  private static final String GET = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final String POST = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";
  private static final String CHUNKED =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final List<RefusalReason> refused = new ArrayList<>();
  private long nowMillis = 1_000;
  private RequestLimits limits = new RequestLimits(MAX_HEAD, MAX_BODY, 3_000, 15_000);
  private final CallerAdmission admission =
      new CallerAdmission(
          new AdmissionSettings(
              BUDGET, 2, Integer.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, 30_000, 10_000),
          new Policy(),
          refused::add,
          () -> nowMillis);
  private final List<EmbeddedChannel> channels = new ArrayList<>();
  private final EmbeddedChannel channel = open();
  private BooleanSupplier hasUnread = () -> false;

  private EmbeddedChannel open() {
    EmbeddedChannel opened = new EmbeddedChannel(new HttpServerCodec(65_536, 65_536, 8_192));
    hasUnread = admission.install(opened);
    channels.add(opened);
    return opened;
  }

  @AfterEach
  void close() {
    channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    assertEquals(0, admission.bodyBytes());
    assertEquals(0, admission.openConnections());
  }

  private static void send(EmbeddedChannel to, String text) {
    boolean unused = to.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    to.runPendingTasks();
  }

  private void send(String text) {
    send(channel, text);
  }

  /** Returns the next request with its body as text; empty if no request was passed on. */
  private static String request(EmbeddedChannel from) {
    HttpRequest head = from.readInbound();
    if (head == null) {
      return "";
    }
    HttpContent body = from.readInbound();
    String text = head.method() + " " + body.content().toString(StandardCharsets.ISO_8859_1);
    body.release();
    return text;
  }

  private String request() {
    return request(channel);
  }

  private static String sent(EmbeddedChannel from) {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = from.readOutbound(); part != null; part = from.readOutbound()) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
      part.release();
    }
    return text.toString();
  }

  private String respond() {
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    assertTrue(channel.writeOutbound(response));
    channel.runPendingTasks();
    return sent(channel);
  }

  private void passTime(EmbeddedChannel of, long millis) {
    nowMillis += millis;
    of.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    of.runScheduledPendingTasks();
    of.runPendingTasks();
  }

  private void assertRefused(RefusalReason reason, String status) {
    String response = sent(channel);
    assertTrue(response.startsWith("HTTP/1.1 " + status), response);
    assertTrue(response.contains("Connection: close"), response);
    assertEquals("", request());
    assertEquals(List.of(reason), refused);
    send(POST);
    assertEquals("", request());
    assertEquals("", sent(channel));
    assertEquals(0, admission.bodyBytes());
    passTime(channel, 1_000);
    assertFalse(channel.isOpen());
  }

  private static String post(int declared, int sentBytes) {
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n".formatted(declared)
        + "a".repeat(sentBytes);
  }

  /** Guards against a request that depends on how its bytes are split into reads. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        GET,
        POST,
        "\r\n\r\n" + POST,
        "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /x HTTP/1.0\r\nContent-Length: 2\r\n\r\n{}",
        CHUNKED + "1\r\n{\r\n1;a=b\r\n}\r\n0\r\n\r\n",
        CHUNKED + "2\r\n{}\r\n0\r\nTrailer: 1\r\n\r\n"
      })
  void requestIsPassedOnHoweverItIsSplit(String text) {
    String expected = text.strip().split(" ", 2)[0] + (text.contains("{") ? " {}" : " ");
    send(text + text);
    assertEquals(expected, request());
    assertEquals("", request());
    assertTrue(respond().startsWith("HTTP/1.1 200"));
    assertEquals(expected, request());
    assertTrue(respond().startsWith("HTTP/1.1 200"));
    for (int at = 0; at < text.length(); at++) {
      assertEquals("", request());
      send(text.substring(at, at + 1));
    }
    assertEquals(expected, request());
    assertEquals(List.of(), refused);
  }

  @Test
  void nothingOfAnIncompleteBodyIsPassedOn() {
    send(post(10, 9));
    assertEquals("", request());
    send("b");
    assertEquals("POST aaaaaaaaab", request());
  }

  /** Guards against a limit that refuses the largest request that is allowed. */
  @Test
  void largestRequestIsPassedOn() {
    String head = "POST /x HTTP/1.1\r\nContent-Length: " + MAX_BODY + "\r\nX: ";
    String padded = head + "x".repeat(MAX_HEAD - head.length() - 4) + "\r\n\r\n";
    send(padded + "a".repeat(MAX_BODY));
    assertEquals("POST ".length() + MAX_BODY, request().length());
  }

  @ParameterizedTest
  @ValueSource(strings = {"GET /", "\r\n", "GET / HTTP/1.1\r\nX: "})
  void headWithoutEndIsRefused(String start) {
    send(start + (start.isBlank() ? start : "x").repeat(MAX_HEAD));
    assertRefused(RefusalReason.HEAD_TOO_LARGE, "431");
  }

  @Test
  void emptyLinesCountAsBytesOfTheHead() {
    send("\r\n".repeat((MAX_HEAD - GET.length()) / 2 + 1));
    send(GET);
    assertRefused(RefusalReason.HEAD_TOO_LARGE, "431");
  }

  @Test
  void bodyOfAnUnknownPathIsRefusedByItsHead() {
    send("POST /unknown HTTP/1.1\r\nHost: h:1\r\nContent-Length: 9\r\n\r\n");
    assertRefused(RefusalReason.PATH, "404");
  }

  @Test
  void bodyThatDeclaresTooMuchIsRefusedByItsHead() {
    send(post(MAX_BODY + 1, 0));
    assertRefused(RefusalReason.BODY_TOO_LARGE, "413");
  }

  @Test
  void chunkedBodyIsRefusedOnceItIsTooLarge() {
    String chunk = "2710\r\n" + "a".repeat(10_000) + "\r\n";
    send(CHUNKED + chunk.repeat(MAX_BODY / 10_000));
    assertEquals(List.of(), refused);
    send("1\r\na\r\n");
    assertRefused(RefusalReason.BODY_TOO_LARGE, "413");
  }

  /** Guards against a line of a chunked body that the codec keeps without limit. */
  @Test
  void sizeOfAChunkWithoutEndIsRefused() {
    send(CHUNKED + "1;" + "x".repeat(5_000));
    assertRefused(RefusalReason.MALFORMED, "400");
  }

  @Test
  void requestThatIsNotHttpIsRefused() {
    send("nonsense\r\n\r\n");
    assertRefused(RefusalReason.MALFORMED, "400");
  }

  @Test
  void limitsAreFollowedAsTheyChange() {
    limits = limits.withMaxBodyBytes(1);
    send(POST);
    assertRefused(RefusalReason.BODY_TOO_LARGE, "413");
  }

  @Test
  void callerThatExpectsAnInterimResponseGetsIt() {
    send("POST /x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assertEquals("HTTP/1.1 100 Continue\r\n\r\n", sent(channel));
    send("{}");
    HttpRequest head = channel.readInbound();
    assertFalse(head.headers().contains(HttpHeaderNames.EXPECT));
  }

  @Test
  void callerThatExpectsAnInterimResponseGetsTheRefusal() {
    send("POST /unknown HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assertRefused(RefusalReason.PATH, "404");
  }

  /** Guards against a stop that cuts off a request which was read behind another one. */
  @Test
  void bytesBehindARequestAreReported() {
    EmbeddedChannel own = open();
    send(own, GET + GET);
    assertTrue(hasUnread.getAsBoolean());
  }

  @Test
  void noMoreIsReadWhileBytesBehindARequestAreHeld() {
    send(GET + "GET");
    assertFalse(channel.config().isAutoRead());
    assertEquals("GET ", request());
    send(" /y HTTP/1.1\r\n\r\n");
    assertEquals("", request());
    respond();
    assertEquals("GET ", request());
  }

  @Test
  void idleConnectionIsClosed() {
    passTime(channel, 14_999);
    assertTrue(channel.isOpen());
    passTime(channel, 1);
    assertFalse(channel.isOpen());
    assertEquals(List.of(RefusalReason.IDLE), refused);
  }

  @Test
  void headThatIsNotCompleteInTimeIsClosed() {
    send(GET.substring(0, 5));
    passTime(channel, 2_999);
    send(GET.substring(5, 6));
    passTime(channel, 1);
    assertFalse(channel.isOpen());
    assertEquals(List.of(RefusalReason.HEAD_TOO_SLOW), refused);
  }

  @Test
  void bodyThatIsNotCompleteInTimeIsClosed() {
    send(post(10, 1));
    passTime(channel, 29_999);
    assertTrue(channel.isOpen());
    passTime(channel, 1);
    assertFalse(channel.isOpen());
    assertEquals(List.of(RefusalReason.BODY_TOO_SLOW), refused);
  }

  @Test
  void requestThatWaitsForItsResponseIsNotClosed() {
    send(POST);
    passTime(channel, 3_600_000);
    assertTrue(channel.isOpen());
  }

  @Test
  void responseThatIsNotTakenClosesTheConnection() {
    send(GET);
    var unused =
        channel.write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    passTime(channel, 9_999);
    assertTrue(channel.isOpen());
    passTime(channel, 1);
    assertFalse(channel.isOpen());
    assertEquals(List.of(RefusalReason.RESPONSE_NOT_TAKEN), refused);
  }

  /** Guards against incomplete bodies that keep others from being served. */
  @Test
  void incompleteBodyGivesWayToAnother() {
    send(post(MAX_BODY, MAX_BODY - 1));
    nowMillis += 1_000;
    EmbeddedChannel other = open();
    send(other, post(MAX_BODY, MAX_BODY));
    channel.runPendingTasks();
    assertFalse(channel.isOpen());
    assertEquals("", request());
    assertEquals("POST ".length() + MAX_BODY, request(other).length());
    assertEquals(List.of(RefusalReason.BYTES_RECLAIMED), refused);
  }

  /** Guards against a request that is dropped after it may have been accepted. */
  @Test
  void completeRequestIsNotDropped() {
    send(post(60_000, 60_000));
    nowMillis += 1_000;
    EmbeddedChannel other = open();
    send(other, post(60_000, 59_999));
    assertTrue(sent(other).startsWith("HTTP/1.1 503"));
    channel.runPendingTasks();
    assertTrue(channel.isOpen());
    assertEquals("POST ".length() + 60_000, request().length());
  }

  @Test
  void idleConnectionGivesWayToANewOne() {
    nowMillis++;
    EmbeddedChannel second = open();
    send(GET);
    EmbeddedChannel third = open();
    second.runPendingTasks();
    assertFalse(second.isOpen());
    assertTrue(channel.isOpen());
    assertTrue(third.isOpen());
    assertEquals(List.of(RefusalReason.CONNECTIONS), refused);
  }

  /** Knows one path. */
  private final class Policy implements CallerPolicy {
    @Override
    public RequestLimits limits() {
      return limits;
    }

    @Override
    public Optional<ResultCode> refusal(String method, String host, String path) {
      return path.equals("/x") ? Optional.empty() : Optional.of(ResultCode.UNKNOWN_SERVICE);
    }

    @Override
    public byte[] encode(ResultCode code) {
      return "{}".getBytes(StandardCharsets.UTF_8);
    }
  }
}
