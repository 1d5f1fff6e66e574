package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.List;
import org.hemlockpick.cell.TaskCrashes.Crash;
import org.junit.jupiter.api.Test;

/** Tests after which crashes a task is a suspect, or given up. */
class TaskCrashesTest {
  private final TaskCrashes crashes = new TaskCrashes();

  private void add(int attempt, String worker, long ageMillis, boolean telling) {
    assertTrue(crashes.add(new Crash(attempt, worker, ageMillis, telling)));
  }

  /** Guards against giving up a task though a single worker has crashed under it. */
  @Test
  void taskIsNotGivenUpForOneWorker() {
    for (int attempt = 1; attempt <= 9; attempt++) {
      add(attempt, "w0", 10, true);
      assertFalse(crashes.areDecisive(true));
    }
    add(10, "w1", 10, true);
    assertTrue(crashes.areDecisive(true));
  }

  /** Guards against counting the crash under an attempt twice. */
  @Test
  void crashCountsOnceForAnAttempt() {
    add(1, "w0", 10, true);
    assertFalse(crashes.add(new Crash(1, "w0", 10, true)));
    assertEquals(1, crashes.all().size());
  }

  /** Guards against giving up a task for two crashes that others may have caused. */
  @Test
  void twoCrashesSufficeOnlyIfNothingElseIsLikely() {
    add(1, "w0", 10, true);
    assertFalse(crashes.areDecisive(true));
    add(2, "w1", 10, true);
    assertTrue(crashes.areDecisive(true));
    assertFalse(crashes.areDecisive(false));
  }

  /** Guards against giving up a task for two crashes of several workers at once. */
  @Test
  void twoLossesOfSeveralWorkersDoNotSuffice() {
    add(1, "w0", 10, false);
    assertFalse(crashes.isSuspect());
    add(2, "w1", 10, false);
    assertTrue(crashes.isSuspect());
    assertFalse(crashes.areDecisive(true));
  }

  /** Guards against giving up a task whose runs were lost at ages that have nothing in common. */
  @Test
  void threeCrashesAtDifferentAgesDoNotSuffice() {
    add(1, "w0", 1_400, true);
    add(2, "w1", 200, true);
    add(3, "w2", 2_700, true);
    assertFalse(crashes.areDecisive(true));
    add(4, "w3", 900, true);
    assertTrue(crashes.areDecisive(false));
  }

  /** Guards against clearing a task by a run that is younger than one that was lost. */
  @Test
  void runMustOutliveTheLostOnesByFarToClearItsTask() {
    add(1, "w0", 2_000, false);
    assertTrue(crashes.soundAfterMillis() > 2 * 2_000);
  }

  /** Guards against the next holder reading other crashes than were stored. */
  @Test
  void crashesAreStoredWithTheProgressOfTheJob() {
    Job job = new Job(CellWorld.job("a", 0, CellWorld.step(2)), 0, false);
    job.openDueOccurrences(0);
    Task task = job.stepRuns().get(0).tasks().get(1);
    task.crashes().add(new Crash(3, "w0", 12, true));
    task.crashes().add(new Crash(1_001, "w1", 2_345, false));
    ByteString row = JobRows.encode(job);
    Job restored = new Job(CellWorld.job("a", 0, CellWorld.step(2)), 0, true);
    restored.restore(JobRows.progress(row).orElseThrow());
    List<Task> tasks = restored.stepRuns().get(0).tasks();
    assertEquals(task.crashes().all(), tasks.get(1).crashes().all());
    assertTrue(tasks.get(0).crashes().isEmpty());
  }
}
