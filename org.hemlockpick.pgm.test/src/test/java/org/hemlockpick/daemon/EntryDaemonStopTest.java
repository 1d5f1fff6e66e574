package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.hemlockpick.transport.Eventually;
import org.hemlockpick.transport.RawConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a daemon that stops answers each request of which it has read a byte. */
class EntryDaemonStopTest {
  /** Connections that go to all event loops of the server, one after the other. */
  private static final int ROUNDS = 8;

  private static final String HEAD_BEGIN =
      "POST /v1/customers/lantern/services/litepay HTTP/1.1\r\n";
  private static final String HEAD_REST =
      "Host: h\r\nX-Hemlockpick-Key: k\r\nContent-Length: 2\r\n\r\n";

  private EntryDaemon daemon;
  private InetSocketAddress address;

  @BeforeEach
  void start() throws IOException {
    String text = SettingsText.with("ab".repeat(32), "cd".repeat(32));
    daemon =
        EntryDaemon.start(
            SettingsReader.read(SettingsText.FILE, text).get(),
            (own, incarnation, clock, random) -> new FakeLoop(),
            (all, inputs, clock, metrics) -> new NoEffects(),
            event -> {});
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), daemon.callersPort());
  }

  @AfterEach
  void close() {
    daemon.close();
  }

  /** Guards against a connection that is closed as idle while the head of a request is read. */
  @Test
  void requestWhoseHeadComesLateIsAnswered() throws Exception {
    try (RawConnection slow = new RawConnection(address)) {
      slow.send(HEAD_BEGIN);
      awaitReadingOfAllThatWasSent();
      var stop = CompletableFuture.supplyAsync(daemon::stop);
      awaitRefusal();
      slow.send(HEAD_REST + "{}");
      String answer = slow.readAnswer();
      assertTrue(answer.startsWith("http/1.1 503"), answer);
      assertTrue(answer.contains("connection: close"), answer);
      assertTrue(slow.isClosed());
      assertTrue(stop.get());
    }
  }

  @Test
  void requestWhoseBodyComesLateIsAnswered() throws Exception {
    try (RawConnection slow = new RawConnection(address)) {
      slow.send(HEAD_BEGIN + "Expect: 100-continue\r\n" + HEAD_REST);
      assertTrue(slow.readAnswer().startsWith("http/1.1 100"));
      var stop = CompletableFuture.supplyAsync(daemon::stop);
      awaitRefusal();
      slow.send("{}");
      String answer = slow.readAnswer();
      assertTrue(answer.startsWith("http/1.1 503"), answer);
      assertTrue(stop.get());
    }
  }

  /** Guards against a request that is read between the end of the wait and the close. */
  @Test
  void openConnectionIsClosedBeforeAnotherRequestIsRead() throws Exception {
    try (RawConnection open = new RawConnection(address)) {
      assertEquals("http/1.1 200", ask(open).substring(0, 12));
      assertTrue(daemon.stop());
      assertTrue(open.isClosed());
    }
  }

  private void awaitReadingOfAllThatWasSent() throws IOException {
    for (int i = 0; i < ROUNDS; i++) {
      try (RawConnection connection = new RawConnection(address)) {
        assertFalse(ask(connection).isEmpty());
      }
    }
  }

  private static String ask(RawConnection connection) throws IOException {
    connection.send(HEAD_BEGIN + HEAD_REST + "{}");
    return connection.readAnswer();
  }

  private void awaitRefusal() {
    Eventually.holds(this::isRefused, () -> "new connections are refused");
  }

  private boolean isRefused() {
    try {
      new RawConnection(address).close();
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
