package org.hemlockpick.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.base.Splitter;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.proto.CallFate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests answers that have arrived but are still unread when their call's timeout expires. */
class BufferedAnswerTest {
  private static final long TIMEOUT_MILLIS = 300;
  private static final long LONG_TIMEOUT_MILLIS = 10_000;

  private final CountDownLatch requestReceived = new CountDownLatch(1);
  private final CountDownLatch answerAllowed = new CountDownLatch(1);
  private final CountDownLatch answerSent = new CountDownLatch(1);
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::serve);
  }

  @AfterEach
  void close() throws IOException {
    server.close();
  }

  /**
   * Guards against timing out a call whose answer arrived in time but was still unread, because the
   * transport's thread read from other connections for longer than the call's timeout.
   */
  @Test
  void answerThatArrivedInTimeCountsWhenItIsReadLate() throws Exception {
    try (HttpTransport transport = new HttpTransport()) {
      CompletableFuture<HttpResult> late = new CompletableFuture<>();
      HttpEndpoint endpoint = endpoint(transport);
      endpoint.send(HttpCall.get("/late", TIMEOUT_MILLIS), late::complete);
      await(requestReceived);
      blockTransportUntilTheAnswerArrives(transport);
      CallFate fate = late.orTimeout(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join().fate();
      assertEquals(CallFate.ANSWERED, fate);
    }
  }

  /** Blocks the transport's thread in a read until the answer is sent and its timeout is over. */
  private void blockTransportUntilTheAnswerArrives(HttpTransport transport) {
    ChannelInboundHandlerAdapter slowReader =
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelActive(ChannelHandlerContext context) {
            byte[] request = "GET /other HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            var unused = context.writeAndFlush(Unpooled.wrappedBuffer(request));
          }

          @Override
          public void channelRead(ChannelHandlerContext context, Object message) {
            answerAllowed.countDown();
            await(answerSent);
            sleep(TIMEOUT_MILLIS);
            var unused = context.close();
          }
        };
    var unused =
        new Bootstrap()
            .group(transport.loop())
            .channel(NioSocketChannel.class)
            .handler(slowReader)
            .connect(server.getInetAddress(), server.getLocalPort());
  }

  private HttpEndpoint endpoint(HttpTransport transport) {
    return new HttpEndpoint(transport, "127.0.0.1:" + server.getLocalPort(), 4);
  }

  private void serve() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        start(() -> answerAll(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void answerAll(Socket socket) {
    try (socket) {
      StringBuilder text = new StringBuilder();
      for (int c = socket.getInputStream().read(); c >= 0; c = socket.getInputStream().read()) {
        text.append((char) c);
        if (text.toString().endsWith("\r\n\r\n")) {
          answer(socket, Splitter.on(' ').splitToList(text).get(1));
          text.setLength(0);
        }
      }
    } catch (IOException e) {
      // The connection was closed.
    }
  }

  private void answer(Socket socket, String path) throws IOException {
    boolean isLate = path.equals("/late");
    if (isLate) {
      requestReceived.countDown();
      await(answerAllowed);
    }
    byte[] ok = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    socket.getOutputStream().write(ok);
    if (isLate) {
      answerSent.countDown();
    }
  }

  private static void start(Runnable action) {
    Thread thread = new Thread(action, "buffered-answer-server");
    thread.setDaemon(true);
    thread.start();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
