package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.hemlockpick.errors.ResultCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests entry instances that share a link to the table service which reads of a configuration
 * saturate.
 */
class FullLinkTest {
  private static final int INSTANCES = 19;

  /** Bandwidth of a link of 42 Mbit/s of which a share of 0.7 is left. */
  private static final long BYTES_PER_SECOND = 42_000_000 / 8 * 7 / 10;

  private static final int CONFIGURATION_BYTES = 300_000;
  private static final long PUBLISH_INTERVAL_MILLIS = 160;
  private static final int VERSIONS = 27;

  /** Time within which a confirmed configuration must be applied. */
  private static final long APPLY_MILLIS = 4_000;

  /** Maximum number of configurations that each instance reads out of a series of 27. */
  private static final int MAX_READS = 6;

  /** Time for which callers wait for a reply. */
  private static final long CALL_TIMEOUT_MILLIS = 3_000;

  /** Bandwidth of a machine's own link of 7 Mbit/s of which a share of 0.7 is left. */
  private static final long SLOW_BYTES_PER_SECOND = 7_000_000 / 8 * 7 / 10;

  private static final int LARGE_JOBS = 40;
  private static final int SPEC_BYTES = 100_000;
  private static final long RUN_MILLIS = 60_000;

  /** Time within which the cell becomes free and is taken over. */
  private static final long TAKEOVER_MILLIS = 4_000;

  private final CellWorld world = new CellWorld(20261204, INSTANCES, 4);
  private final SharedLink link = new SharedLink(world.time, BYTES_PER_SECOND);
  private final List<String> notReady = new ArrayList<>();
  private long version = 1;

  @BeforeEach
  void settle() {
    world.nodes.forEach(node -> node.storeView.link = link);
    world.time.runFor(10_000);
    watchReadiness();
  }

  private void watchReadiness() {
    for (CellWorld.Node node : world.nodes) {
      CellMember process = node.process;
      if (process != null && !process.isReady()) {
        notReady.add(node.name + " at " + world.time.millis());
      }
    }
    world.time.after(10, this::watchReadiness);
  }

  /**
   * Guards against all instances discarding reads that take a second or more and repeating them
   * forever.
   */
  @Test
  void newestConfigurationIsAppliedInTime() {
    publishSeries();
    world.time.runFor(APPLY_MILLIS);
    assertEquals(List.of(), outdatedInstances());
  }

  /** The same for a single change. */
  @Test
  void singleConfigurationChangeIsAppliedInTime() {
    publishConfiguration();
    world.time.runFor(APPLY_MILLIS);
    assertEquals(List.of(), outdatedInstances());
  }

  /**
   * Guards against a reply that is in flight for long counting as an unresponsive table service.
   */
  @Test
  void instancesStayReadyWhileTheLinkIsFull() {
    publishSeries();
    world.time.runFor(APPLY_MILLIS);
    assertEquals(List.of(), notReady);
  }

  /** Guards against reading the configuration without end, which kept the link saturated. */
  @Test
  void eachInstanceReadsOnlyAFewConfigurationsOfASeries() {
    long before = link.bytesCarried;
    publishSeries();
    world.time.runFor(2 * APPLY_MILLIS);
    long once = (long) CONFIGURATION_BYTES * INSTANCES;
    long carried = link.bytesCarried - before;
    assertTrue(
        carried <= MAX_READS * once,
        () -> carried + " bytes crossed, " + (double) carried / once + " of each configuration");
  }

  /**
   * A link saturated by one kind of read must not keep the lease and callers from their replies.
   */
  @Test
  void holderAndCallersAreServedWhileTheLinkIsFull() {
    CellWorld.Node holder = world.holder();
    List<ResultCode> answers = new ArrayList<>();
    for (int i = 0; i < VERSIONS; i++) {
      publishConfiguration();
      queryState(world.nodes.get(i % INSTANCES), answers);
      world.submit(i, "job" + i, step(1));
      world.time.runFor(PUBLISH_INTERVAL_MILLIS);
    }
    world.time.runFor(APPLY_MILLIS);
    assertEquals(Collections.nCopies(VERSIONS, ResultCode.UNKNOWN_JOB), answers);
    assertEquals(holder, world.holder());
    assertEquals(1, timesHeld(), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.unfinished());
  }

  /** Queries a job that does not exist, so that any reply but UNKNOWN_JOB is a refusal. */
  private static void queryState(CellWorld.Node node, List<ResultCode> answers) {
    node.process()
        .state(CellWorld.address("none"), CALL_TIMEOUT_MILLIS, reply -> answers.add(reply.code()));
  }

  /** Guards against discarding pages that take a second or more, which left the jobs unread. */
  @Test
  void jobsAreReadAtATakeoverOverASlowLink() {
    CellWorld.Node previous = world.holder();
    world.workers.runMillis = RUN_MILLIS;
    for (int i = 0; i < LARGE_JOBS; i++) {
      world.submit(i, largeJob("job" + i));
    }
    world.time.runFor(5_000);
    CellWorld.Node next = world.nodes.get(world.nodes.indexOf(previous) == 0 ? 1 : 0);
    next.storeView.link = new SharedLink(world.time, SLOW_BYTES_PER_SECOND);
    world.nodes.stream().filter(node -> node != next).forEach(CellWorld.Node::kill);
    long transferMillis = LARGE_JOBS * (long) SPEC_BYTES * 1_000 / SLOW_BYTES_PER_SECOND;
    world.time.runFor(TAKEOVER_MILLIS + 2 * transferMillis);
    String process = " " + next.name + "/";
    boolean isRead =
        world.log.stream().anyMatch(line -> line.contains(process) && line.contains("jobs read"));
    assertTrue(isRead, () -> String.join("\n", world.log));
  }

  private Submission largeJob(String id) {
    String spec = "s".repeat(SPEC_BYTES);
    return new Submission(
        id, CellWorld.QUEUE, spec, List.of(step(1)), 0, 0, 0, world.time.millis());
  }

  private long timesHeld() {
    return world.log.stream().filter(line -> line.contains(" cell c0 held ")).count();
  }

  private void publishSeries() {
    for (int i = 0; i < VERSIONS; i++) {
      world.time.runFor(PUBLISH_INTERVAL_MILLIS);
      publishConfiguration();
    }
  }

  private void publishConfiguration() {
    version++;
    String text = version + " ".repeat(CONFIGURATION_BYTES);
    world.store.put("operator", "configuration", ByteString.copyFromUtf8(text));
  }

  private List<String> outdatedInstances() {
    List<String> late = new ArrayList<>();
    for (CellWorld.Node node : world.nodes) {
      long known = node.process().configuration().orElseThrow().version();
      if (known != version) {
        late.add(node.name + " knows " + known + " of " + version);
      }
    }
    return late;
  }
}
