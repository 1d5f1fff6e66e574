package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests when the connections of callers close while the process stops. */
class CallerDrainTest {
  private static final String HEAD = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n";
  private static final String BODY = "{}";

  private final CallerDrain drain = new CallerDrain(port -> true);
  private final EmbeddedChannel channel = open();

  private EmbeddedChannel open() {
    EmbeddedChannel opened = new EmbeddedChannel(new HttpServerCodec());
    CallerConnection.track(drain, opened);
    opened.runPendingTasks();
    return opened;
  }

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  private void receive(String text) {
    boolean unused = channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private void stopAccepting() {
    drain.begin();
    drain.stopAccepting();
    channel.runPendingTasks();
  }

  private static DefaultFullHttpResponse answer(HttpResponseStatus status) {
    DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    return answer;
  }

  /** Sends an answer and returns whether it announces that the connection closes. */
  private boolean answerAnnouncesEnd(HttpResponseStatus status) {
    assertTrue(channel.writeOutbound(answer(status)));
    StringBuilder sent = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      sent.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    return sent.toString().contains("connection: close");
  }

  private boolean answerAnnouncesEnd() {
    return answerAnnouncesEnd(HttpResponseStatus.OK);
  }

  @Test
  void connectionStaysOpenBeforeTheStop() {
    receive(HEAD + BODY);
    assertFalse(answerAnnouncesEnd());
    assertTrue(channel.isOpen());
  }

  /** Callers are still routed here for a while, and callers with open connections ask again. */
  @Test
  void connectionClosesAfterItsNextAnswer() {
    drain.begin();
    channel.runPendingTasks();
    assertTrue(channel.isOpen());
    receive(HEAD + BODY);
    assertTrue(channel.isOpen());
    assertTrue(answerAnnouncesEnd());
    assertFalse(channel.isOpen());
  }

  @Test
  void idleConnectionClosesWhenNoMoreAreAccepted() {
    receive(HEAD + BODY);
    assertFalse(answerAnnouncesEnd());
    assertFalse(drain.isDone());
    stopAccepting();
    assertFalse(channel.isOpen());
    assertTrue(drain.isDone());
  }

  /** Guards against a request that counts only once its head or its body has been read. */
  @Test
  void firstByteOfARequestKeepsTheConnectionOpenUntilItsAnswer() {
    receive(HEAD.substring(0, 1));
    stopAccepting();
    receive(HEAD.substring(1));
    assertTrue(channel.isOpen());
    receive(BODY);
    assertTrue(channel.isOpen());
    assertFalse(drain.isDone());
    assertTrue(answerAnnouncesEnd());
    assertFalse(channel.isOpen());
    assertTrue(drain.isDone());
  }

  /** Guards against a connection that counts as idle while its answer is not written. */
  @Test
  void connectionClosesOnlyWhenItsAnswerHasBeenWritten() {
    receive(HEAD + BODY);
    stopAccepting();
    var written = channel.write(answer(HttpResponseStatus.OK));
    assertFalse(written.isDone());
    assertTrue(channel.isOpen());
    channel.flush();
    assertTrue(written.isSuccess());
    assertFalse(channel.isOpen());
  }

  /** Guards against a reset that destroys an answer, as bytes of its request are still unread. */
  @Test
  void answerThatPrecedesTheBodyKeepsTheConnectionOpenUntilTheBodyIsRead() {
    receive(HEAD);
    stopAccepting();
    assertTrue(answerAnnouncesEnd());
    assertTrue(channel.isOpen());
    receive(BODY);
    assertFalse(channel.isOpen());
  }

  @Test
  void interimAnswerIsNotTheAnswer() {
    receive(HEAD);
    stopAccepting();
    assertFalse(answerAnnouncesEnd(HttpResponseStatus.CONTINUE));
    receive(BODY);
    assertTrue(channel.isOpen());
    assertTrue(answerAnnouncesEnd());
    assertFalse(channel.isOpen());
  }

  /** Guards against requests that were read behind another on the same connection. */
  @Test
  void requestsThatWereReadTogetherAreAllAnswered() {
    receive(HEAD + BODY + HEAD + BODY);
    stopAccepting();
    assertFalse(answerAnnouncesEnd());
    assertTrue(channel.isOpen());
    assertTrue(answerAnnouncesEnd());
    assertFalse(channel.isOpen());
  }

  /** Guards against a connection that was accepted just before the listener was closed. */
  @Test
  void connectionThatComesTooLateClosesUnread() {
    stopAccepting();
    EmbeddedChannel late = open();
    assertFalse(late.isOpen());
    assertTrue(drain.isDone());
  }

  @Test
  void connectionThatTheCallerClosesIsForgotten() {
    receive(HEAD);
    stopAccepting();
    assertEquals(1, drain.openConnections());
    channel.close().syncUninterruptibly();
    assertTrue(drain.isDone());
  }
}
