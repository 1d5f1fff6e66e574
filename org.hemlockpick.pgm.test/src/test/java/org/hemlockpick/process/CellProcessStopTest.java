package org.hemlockpick.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hemlockpick.transport.Eventually;
import org.hemlockpick.transport.RawConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests how a process of an entry instance on a platform ends. It has no store: it answers each
 * request that it does not serve.
 */
class CellProcessStopTest {
  private static final int GRACE_SECONDS = 20;

  @TempDir private Path folder = Path.of("");
  private final InetSocketAddress callers = freeAddress();
  private final InetSocketAddress readiness = freeAddress();

  @SuppressWarnings("NullAway.Init")
  private ChildProcess process;

  @AfterEach
  void kill() {
    process.kill();
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

  private static InetSocketAddress freeAddress() {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static String text(InetSocketAddress address) {
    return "127.0.0.1:" + address.getPort();
  }
}
