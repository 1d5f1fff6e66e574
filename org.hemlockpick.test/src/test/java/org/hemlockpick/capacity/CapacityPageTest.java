package org.hemlockpick.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hemlockpick.proto.PeerMessage;
import org.junit.jupiter.api.Test;

/** Checks messages and store calls against the bounds in docs/CAPACITY.md. */
class CapacityPageTest {
  private static final Path PAGE = Path.of("..", "docs", "CAPACITY.md");
  private static final int JOBS_PER_MINUTE = 55;
  private static final int TASKS_PER_JOB = 16;

  @Test
  void heartbeatsAtTheDesignSizeStayWithinThePublishedBounds() throws IOException {
    Zone zone = new Zone(Population.ofTasks(650), 0, 0);
    zone.resetMeasurements();
    zone.run(10_000);
    for (Node node : zone.nodes) {
      Map<String, Traffic.Count> counts = node.traffic.counts();
      assertWithin(Traffic.LOCAL_HEARTBEAT, count(counts, "peer sent " + Traffic.LOCAL_HEARTBEAT));
      assertWithin("HEARTBEAT to other zones", count(counts, "peer sent HEARTBEAT"));
    }
  }

  @Test
  void typicalMessagesOfEveryOtherKindStayWithinThePublishedBounds() throws IOException {
    Map<PeerMessage.BodyCase, PeerMessage> messages = TypicalMessages.nonHeartbeats();
    int kinds = PeerMessage.BodyCase.values().length - 2;
    assertEquals(kinds, messages.size(), "every kind but the heartbeat and none has an example");
    for (Map.Entry<PeerMessage.BodyCase, PeerMessage> entry : messages.entrySet()) {
      assertWithin(entry.getKey().name(), entry.getValue().getSerializedSize());
    }
  }

  @Test
  void startsAtTheDesignRateStayWithinThePublishedStoreCost() throws IOException {
    StoreUse use = StoreSlopes.starts(JOBS_PER_MINUTE, TASKS_PER_JOB);
    assertTrue(use.units() >= JOBS_PER_MINUTE * TASKS_PER_JOB * 9 / 10, () -> "starts " + use);
    assertWithin("transactions for a start", use.writesEach());
    assertWithin("reads for a start", use.readsEach());
  }

  @Test
  void nonIdempotentRequestsStayWithinThePublishedStoreCost() throws IOException {
    StoreUse use = StoreSlopes.requests(10);
    assertWithin("rows for a non-idempotent request", use.rowsEach());
    assertWithin("transactions for a non-idempotent request", use.writesEach());
  }

  private static double count(Map<String, Traffic.Count> counts, String kind) {
    Traffic.Count count = counts.get(kind);
    assertNotNull(count, kind);
    return count.largest();
  }

  private static void assertWithin(String label, double measured) throws IOException {
    double bound = bound(label);
    assertTrue(measured <= bound, () -> label + ": " + measured + " of at most " + bound);
  }

  /** Returns the number in the second column of the row whose first is the label in backquotes. */
  private static double bound(String label) throws IOException {
    Pattern row = Pattern.compile("\\| `" + Pattern.quote(label) + "` \\| ([0-9.]+) \\|.*");
    for (String line : Files.readAllLines(PAGE)) {
      Matcher matcher = row.matcher(line);
      if (matcher.matches()) {
        return Double.parseDouble(matcher.group(1));
      }
    }
    throw new AssertionError("docs/CAPACITY.md has no bound for " + label);
  }
}
