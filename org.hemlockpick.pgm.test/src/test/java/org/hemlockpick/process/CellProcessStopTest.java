package org.hemlockpick.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import org.hemlockpick.transport.Eventually;
import org.hemlockpick.transport.RawConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that a process of an entry instance on a platform, told to stop, answers every request of
 * which it has read a byte. It has no store: it answers each request that it does not serve.
 */
class CellProcessStopTest {
  private static final int CALLERS = 48;
  private static final int MIN_PORT = 15_000;
  private static final int MAX_PORT = 32_000;
  private static final int STATUS_AT = "http/1.1 ".length();

  /** Longer than {@link ChildProcess#waitFor} waits. */
  private static final int ENDLESS_GRACE_SECONDS = 300;

  private static final int GRACE_SECONDS = 20;
  private static final int SHORT_GRACE_SECONDS = 5;

  @TempDir private Path folder = Path.of("");
  private final InetSocketAddress callers = freeAddress();
  private final InetSocketAddress readiness = freeAddress();

  @SuppressWarnings("NullAway.Init")
  private ChildProcess process;

  /** Ends the process and prints what it wrote, which is gone with the folder. */
  @AfterEach
  void kill() throws IOException {
    process.kill();
    System.out.println(process.out() + Files.readString(process.log()));
  }

  /** Guards against a process that listens before it can handle the signal, and ends at once. */
  @Test
  void processThatHasJustBegunToListenAnswersBeforeItEnds() throws Exception {
    start(GRACE_SECONDS);
    try (RawConnection first = new RawConnection(callers)) {
      first.sendHead();
      process.terminate();
      first.sendBody();
      assertTrue(first.readAnswer().startsWith("http/1.1 "));
    }
    assertEquals(0, process.waitFor());
  }

  /**
   * Guards against a request that arrives when the process has found that none is in flight: it was
   * read and cut off, on connections that stayed open and on new ones.
   */
  @Test
  void requestsThatArriveUntilTheEndAreAnsweredOrNotRead() throws Exception {
    start(GRACE_SECONDS);
    List<StopCaller> asking = new ArrayList<>();
    List<Future<?>> ends = new ArrayList<>();
    ExecutorService threads = Executors.newCachedThreadPool();
    for (int i = 0; i < CALLERS; i++) {
      asking.add(new StopCaller(callers, i));
      ends.add(threads.submit(asking.get(i)));
    }
    awaitAnswer();
    process.terminate();
    for (Future<?> end : ends) {
      end.get();
    }
    threads.shutdown();
    assertEquals(0, process.waitFor());
    assertTrue(asking.stream().mapToInt(StopCaller::answered).sum() > 0);
    assertEquals(0, asking.stream().mapToInt(StopCaller::cutOff).sum(), "read and cut off");
  }

  /**
   * Guards against a request that counts only once its body is there: the process ended after it
   * had read the head. The readiness is served until the end.
   */
  @Test
  void requestWhoseBodyComesLateIsAnswered() throws Exception {
    start(GRACE_SECONDS);
    try (RawConnection slow = new RawConnection(callers)) {
      slow.sendHeadAndAwaitItsReading();
      process.terminate();
      Eventually.holds(() -> isRefused(callers), () -> "new connections are refused");
      assertReadinessIs(503);
      slow.sendBody();
      String head = slow.readAnswer();
      assertTrue(head.contains("connection: close"), head);
      assertTrue(slow.isClosed());
    }
    assertEquals(0, process.waitFor());
  }

  /** Guards against a connection that stays open after an answer that announces its end. */
  @Test
  void connectionIsClosedAfterItsNextAnswer() throws Exception {
    start(GRACE_SECONDS);
    try (RawConnection open = new RawConnection(callers)) {
      ask(open);
      process.terminate();
      Eventually.holds(() -> readinessStatus() == 503, () -> "the process is not ready");
      String head = ask(open);
      assertTrue(head.contains("connection: close"), head);
      assertTrue(open.isClosed());
      assertFalse(isRefused(callers));
    }
    assertEquals(0, process.waitFor());
  }

  @Test
  void idleConnectionDoesNotHoldTheProcessUp() throws Exception {
    start(ENDLESS_GRACE_SECONDS);
    try (RawConnection used = new RawConnection(callers);
        RawConnection unused = new RawConnection(callers)) {
      ask(used);
      process.terminate();
      assertEquals(0, process.waitFor());
      assertTrue(unused.isClosed());
    }
  }

  @Test
  void requestThatIsNeverWholeDoesNotHoldTheProcessUpBeyondItsGraceTime() throws Exception {
    start(SHORT_GRACE_SECONDS);
    try (RawConnection slow = new RawConnection(callers)) {
      slow.sendHead();
      process.terminate();
      assertEquals(0, process.waitFor());
    }
  }

  /** Guards against a failed start that ends like a planned stop. */
  @Test
  void processThatCannotListenFails() throws Exception {
    start(GRACE_SECONDS);
    ChildProcess second = ChildProcess.start(folder, "second", "serve", "--settings", settings());
    assertNotEquals(0, second.waitFor());
  }

  private void start(int graceSeconds) throws IOException {
    String settings =
        """
        [instance]
        name = "edge-kgn-a-1"
        zone = "kgn-a"
        [listen]
        callers = "%s"
        readiness = "%s"
        metrics = "%s"
        [cell]
        table-service = "%s"
        stop-grace = "%d s"
        """
            .formatted(
                text(callers),
                text(readiness),
                text(freeAddress()),
                text(freeAddress()),
                graceSeconds);
    Files.writeString(Path.of(settings()), settings);
    process = ChildProcess.start(folder, "entry", "serve", "--settings", settings());
    Eventually.holds(() -> !isRefused(callers), () -> "the process listens");
  }

  private void awaitAnswer() throws IOException {
    try (RawConnection connection = new RawConnection(callers)) {
      ask(connection);
    }
  }

  private static String ask(RawConnection connection) throws IOException {
    connection.sendHead();
    connection.sendBody();
    return connection.readAnswer();
  }

  private void assertReadinessIs(int status) {
    assertEquals(status, readinessStatus());
  }

  private int readinessStatus() {
    try (RawConnection connection = new RawConnection(readiness)) {
      connection.get("/v1/readyz");
      String head = connection.readAnswer();
      return Integer.parseInt(head.substring(STATUS_AT, STATUS_AT + 3));
    } catch (IOException e) {
      throw new AssertionError("the readiness is not served", e);
    }
  }

  private String settings() {
    return folder.resolve("settings.toml").toString();
  }

  private static boolean isRefused(InetSocketAddress address) {
    try {
      new RawConnection(address).close();
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Returns a free address below the ports that the system uses for outgoing connections: another
   * process, or the test's own wait for the process, may take one of those.
   */
  private static InetSocketAddress freeAddress() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
      } catch (BindException e) {
        // The port is in use: try another one.
      } catch (IOException e) {
        throw new AssertionError(e);
      }
    }
  }

  private static String text(InetSocketAddress address) {
    return "127.0.0.1:" + address.getPort();
  }
}
