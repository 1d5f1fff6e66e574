package org.hemlockpick.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.proto.CallFate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests calls that time out before they are sent, because the transport's thread was blocked. */
class UnsentCallTimeoutTest {
  private static final long TIMEOUT_MILLIS = 300;
  private static final long BLOCKED_MILLIS = 900;
  private static final long OBSERVATION_MILLIS = 1_500;

  private final List<String> received = new CopyOnWriteArrayList<>();
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serve, "unsent-call-server");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void close() throws IOException {
    server.close();
  }

  /** Guards against sending an order to the worker after its call has already timed out. */
  @Test
  void callThatTimedOutBeforeItWasSentIsNotSent() throws Exception {
    try (HttpTransport transport = new HttpTransport()) {
      HttpEndpoint endpoint = endpoint(transport);
      transport.loop().execute(UnsentCallTimeoutTest::blockThread);
      assertEquals(CallFate.LOST, send(endpoint, "/late").fate());
      Thread.sleep(OBSERVATION_MILLIS);
    }
    assertEquals(List.of(), received);
  }

  /** The same on a connection that is already open. */
  @Test
  void callThatTimedOutBeforeItWasSentIsNotSentOnAnOpenConnection() throws Exception {
    try (HttpTransport transport = new HttpTransport()) {
      HttpEndpoint endpoint = endpoint(transport);
      send(endpoint, "/first");
      transport.loop().execute(UnsentCallTimeoutTest::blockThread);
      assertEquals(CallFate.LOST, send(endpoint, "/late").fate());
      Thread.sleep(OBSERVATION_MILLIS);
    }
    assertEquals(List.of("/first"), received);
  }

  private HttpEndpoint endpoint(HttpTransport transport) {
    return new HttpEndpoint(transport, "127.0.0.1:" + server.getLocalPort(), 4);
  }

  private static HttpResult send(HttpEndpoint endpoint, String path) {
    CompletableFuture<HttpResult> answer = new CompletableFuture<>();
    endpoint.send(HttpCall.get(path, TIMEOUT_MILLIS), answer::complete);
    return answer.orTimeout(5_000, TimeUnit.MILLISECONDS).join();
  }

  private static void blockThread() {
    try {
      Thread.sleep(BLOCKED_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Thread thread = new Thread(() -> answerAll(socket), "unsent-call-connection");
        thread.setDaemon(true);
        thread.start();
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
          received.add(Splitter.on(' ').splitToList(text).get(1));
          text.setLength(0);
          byte[] ok =
              "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
          socket.getOutputStream().write(ok);
        }
      }
    } catch (IOException e) {
      // The connection was closed.
    }
  }
}
