package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.proto.SetAsideJob;
import org.junit.jupiter.api.Test;

/** Tests what the row of jobs that are set aside holds where it has no room, or is refused. */
class SetAsideJobsTest {
  private static final int ROW_BYTES = 4_096;

  /** Tasks whose failures fill over half of the room. */
  private static final int HALF = 150;

  private final SetAsideJobs aside = new SetAsideJobs("c0", ROW_BYTES);

  private static Job job(String id) {
    Job job = new Job(CellWorld.job(id, 0, CellWorld.step(1_000)), 1, false);
    job.openDueOccurrences(0);
    job.setState(JobState.RUNNING);
    return job;
  }

  /** Has a number of further tasks of a job fail. */
  private static void fail(Job job, int from, int count) {
    for (int i = from; i < from + count; i++) {
      job.stepRuns().get(0).tasks().get(i).addFailure("w0", 1_001);
    }
  }

  private static List<String> stored(SetAsideJobs.Row row) {
    return CellRows.setAside(row.write().value()).orElseThrow().getJobsList().stream()
        .map(entry -> entry.getJob() + " " + failures(entry))
        .toList();
  }

  private static int failures(SetAsideJob entry) {
    return entry.getProgress().getStepsList().stream().mapToInt(s -> s.getNotesCount()).sum();
  }

  /** Guards against confirmed ends that are dropped for a job that needs more room. */
  @Test
  void jobThatNeedsMoreRoomKeepsWhatIsStored() {
    Job first = job("a");
    Job second = job("b");
    aside.add(first);
    aside.add(second);
    fail(first, 0, HALF);
    fail(second, 0, 10);
    assertEquals(List.of("a 150", "b 10"), stored(aside.row(7)));
    aside.onStored();
    fail(first, HALF, 2 * HALF);
    SetAsideJobs.Row row = aside.row(8);
    assertEquals(List.of("a 150", "b 10"), stored(row));
    assertEquals(List.of(second), row.newest());
    assertTrue(aside.contains(first));
    assertTrue(row.write().value().size() <= ROW_BYTES);
  }

  /** Guards against confirmed ends that are dropped as another job is set aside later. */
  @Test
  void refusedRowLeavesWhatIsStored() {
    Job first = job("a");
    aside.add(first);
    fail(first, 0, 10);
    assertEquals(List.of("a 10"), stored(aside.row(7)));
    aside.onStored();
    fail(first, 10, 10);
    aside.row(8);
    aside.onRefused();
    Job second = job("b");
    aside.add(second);
    assertEquals(List.of("a 20", "b 0"), stored(aside.row(9)));
  }

  /** Guards against a job without a stored entry that counts as set aside. */
  @Test
  void jobWithoutRoomIsNotSetAside() {
    Job first = job("a");
    Job second = job("b");
    aside.add(first);
    aside.add(second);
    fail(first, 0, HALF);
    fail(second, 0, 2 * HALF);
    SetAsideJobs.Row row = aside.row(7);
    assertEquals(List.of("a 150"), stored(row));
    assertEquals(List.of(first), row.newest());
    aside.onRefused();
    assertEquals(0, aside.members().size());
  }
}
