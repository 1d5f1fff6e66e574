package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that other jobs go on where the table service refuses all rows of a job, for whatever
 * reason, and that no end of the job is confirmed before it is stored.
 */
class RefusedRowTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final long KEEP_MILLIS = 10_000_000;
  private static final int WORKERS = 4;

  /** Tasks with more ends at each worker than it lists. */
  private static final int LARGE = 4_000;

  private static final int ORDINARY = 20;

  private final CellWorld world =
      new CellWorld(20261207, 3, WORKERS, CellWorld.LEASE_MILLIS, KEEP_MILLIS);

  private void submitRefused() {
    world.time.runFor(SETTLE_MILLIS);
    world.store.refusedProgress = "refused";
    world.submit(0, "refused", CellWorld.tinyStep(LARGE, false));
  }

  /** Submits ordinary jobs, one each second; returns those that are not completed in time. */
  private List<String> submitOrdinary(String prefix) {
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < ORDINARY; i++) {
      jobs.add(prefix + i);
      world.submit(i, prefix + i, CellWorld.step(2), CellWorld.step(1, 0));
      world.time.runFor(1_000);
    }
    world.time.runFor(5_000);
    jobs.removeIf(job -> world.state(job) == JobState.COMPLETED);
    return jobs;
  }

  private String lastLog() {
    List<String> log = world.log.stream().filter(line -> !line.contains(" load ")).toList();
    return String.join("\n", log.subList(Math.max(0, log.size() - 20), log.size()));
  }

  /** Guards against ends of one job that hold up those of all others at its workers. */
  @Test
  void otherJobsGoOnThoughTheRowsOfOneAreRefused() {
    submitRefused();
    assertEquals(List.of(), submitOrdinary("a"), this::lastLog);
    assertEquals(List.of(), world.workers.violations);
    assertEquals(LARGE, new HashSet<>(world.workers.starts).size() - 3 * ORDINARY);
    assertEquals(JobState.COMPLETED, world.state("refused"), this::lastLog);
    world.store.refusedProgress = "";
    world.time.runFor(20_000);
    assertEquals(JobState.COMPLETED, world.state("refused"), this::lastLog);
  }

  /** Guards against confirmed ends that the next holders do not know of. */
  @Test
  void confirmedEndsOutliveTheHolderThoughTheRowsAreRefused() {
    submitRefused();
    for (int i = 0; i < 3; i++) {
      CellWorld.Node holder = world.holder();
      holder.kill();
      world.time.runFor(4_000);
      holder.start();
      assertEquals(List.of(), submitOrdinary("a" + i + "."), this::lastLog);
    }
    assertEquals(List.of(), world.workers.violations);
    world.store.refusedProgress = "";
    world.time.runFor(20_000);
    assertEquals(JobState.COMPLETED, world.state("refused"), this::lastLog);
    world.holder().kill();
    world.time.runFor(20_000);
    assertEquals(JobState.COMPLETED, world.state("refused"), this::lastLog);
    assertEquals(List.of(), world.workers.violations);
  }

  /** Guards against a refusal that comes and goes, so that two rows tell of the job. */
  @Test
  void newestProgressCountsThoughRefusalsComeAndGo() {
    submitRefused();
    world.workers.runMillis = 4_000;
    for (int i = 0; i < 8; i++) {
      world.time.runFor(3_000 + 1_700L * i);
      world.store.refusedProgress = i % 2 == 0 ? "" : "refused";
      world.time.runFor(2_300);
      CellWorld.Node holder = world.holder();
      holder.kill();
      world.time.runFor(3_500);
      holder.start();
    }
    world.store.refusedProgress = "";
    world.time.runFor(30_000);
    assertEquals(JobState.COMPLETED, world.state("refused"), this::lastLog);
    assertEquals(List.of(), world.workers.violations);
    for (int i = 0; i < WORKERS; i++) {
      assertEquals(0, world.workers.get("w" + i).unacknowledgedCompletions());
    }
    assertTrue(world.store.value("cells", "c0/set-aside").flatMap(CellRows::setAside).isPresent());
  }
}
