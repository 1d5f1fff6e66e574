package org.hemlockpick.cell.rows;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockpick.cell.ResourceAmounts;
import org.hemlockpick.cell.Step;
import org.hemlockpick.cell.Submission;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.proto.CrashNote;
import org.hemlockpick.proto.JobStateRecord;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.StartNote;
import org.hemlockpick.proto.StepProgress;
import org.hemlockpick.proto.TaskNote;
import org.junit.jupiter.api.Test;

/** Tests the forms in which the progress of a job is stored, for jobs of up to 9,000 tasks. */
class ProgressRowsTest {
  private static final String JOB = "0123456789abcdef";
  private static final int ROW_BYTES = RowLimits.DEFAULT_ROW_BYTES;
  private static final int LARGEST = 9_000;
  private static final String CHECKPOINT = "00000bb87a21d94b";

  /** Version of a task that is done. */
  private static final int DONE = 4;

  /** Longest name of a worker: that of the key of a row. */
  private static final String LONGEST_NAME = "w".repeat(200);

  private static Step step(int count) {
    return new Step(
        count,
        new ResourceAmounts(10, 10, 0),
        500,
        List.of(),
        true,
        false,
        false,
        null,
        null,
        0,
        false,
        false,
        "image",
        0,
        false,
        null);
  }

  private static Submission job(int occurrences, int... counts) {
    List<Step> steps = new ArrayList<>();
    for (int count : counts) {
      steps.add(step(count));
    }
    return new Submission(JOB, "queue", "spec", steps, 1, 1_000, occurrences, 0);
  }

  private static ProgressRecord.Builder running() {
    return ProgressRecord.newBuilder().setFormat(1).setState(JobStateRecord.JOB_RUNNING);
  }

  private static ByteString bits(BitSet bits) {
    return ByteString.copyFrom(bits.toByteArray());
  }

  private static BitSet first(int count) {
    BitSet bits = new BitSet();
    bits.set(0, count);
    return bits;
  }

  private static TaskNote.Builder checkpoint(int index) {
    return TaskNote.newBuilder()
        .setIndex(index)
        .setCheckpoint(CHECKPOINT)
        .setCheckpointAttempt(1_001);
  }

  /** Returns the progress of a step whose tasks have checkpoints behind the first ones, done. */
  private static ProgressRecord checkpoints(int count, int done) {
    StepProgress.Builder step = StepProgress.newBuilder().setDone(bits(first(done)));
    for (int i = done; i < count; i++) {
      step.addNotes(checkpoint(i));
    }
    return running().addSteps(step).build();
  }

  private static List<Write> rows(ProgressRows rows, ProgressRecord progress) {
    return rows.rows(progress, ROW_BYTES, 0).orElseThrow();
  }

  /** Writes rows, each of which must fit, and reads them as the next holder does. */
  private static Map<String, ProgressRecord> store(ProgressRows rows, List<Write> writes, int max) {
    Map<String, ProgressRecord> stored = new HashMap<>();
    for (Write write : writes) {
      assertTrue(write.value().size() <= max, () -> write.row() + " " + write.value().size());
      rows.onStored(write);
      String key = write.row().key();
      stored.put(key, ProgressRows.parse(key, write.value()).orElseThrow());
    }
    return stored;
  }

  /** Guards against further rows, or another form, for a job whose progress fits into one row. */
  @Test
  void progressThatFitsIsStoredInOneRow() {
    ProgressRecord progress = checkpoints(2_000, 100);
    List<Write> writes = rows(new ProgressRows(job(0, 2_000)), progress);
    assertEquals(List.of(new Write(ProgressRows.row(JOB), progress.toByteString())), writes);
  }

  /** Guards against what the next holder does not find of a job whose checkpoints do not fit. */
  @Test
  void checkpointsThatDoNotFitAreInFurtherRows() {
    ProgressRows rows = new ProgressRows(job(0, LARGEST));
    ProgressRecord progress = checkpoints(LARGEST, 1_000);
    Map<String, ProgressRecord> stored = store(rows, rows(rows, progress), ROW_BYTES);
    assertTrue(stored.size() > 2);
    assertEquals(facts(progress), facts(restored(job(0, LARGEST), stored)));
  }

  /** Guards against an earlier version that starts done tasks again, or too often. */
  @Test
  void earlierVersionsFindAllButCheckpointsInTheRow() {
    ProgressRows rows = new ProgressRows(job(0, LARGEST));
    ProgressRecord.Builder progress = checkpoints(LARGEST, 1_000).toBuilder();
    progress.getStepsBuilder(0).getNotesBuilder(7).setFailures(2).setFailedAttempt(1_000);
    progress.getStepsBuilder(0).getNotesBuilder(8).setPlace("i-097d984a5d");
    progress.getStepsBuilder(0).setDoubted(bits(first(2_000)));
    Map<String, ProgressRecord> stored = store(rows, rows(rows, progress.build()), ROW_BYTES);
    ProgressRecord main = stored.remove(JOB);
    assertEquals(1, main.getFormat());
    StepProgress step = main.getSteps(0);
    assertEquals(progress.getSteps(0).getDone(), step.getDone());
    assertEquals(progress.getSteps(0).getDoubted(), step.getDoubted());
    assertEquals(2, step.getNotesCount());
    assertEquals(2, step.getNotes(0).getFailures());
    assertEquals("i-097d984a5d", step.getNotes(1).getPlace());
    // They pass over rows of another format, and keep them.
    stored.values().forEach(row -> assertNotEquals(1, row.getFormat()));
  }

  /** Guards against further rows that are written again with each change of the job. */
  @Test
  void onlyChangedRangesAreWrittenAgain() {
    ProgressRows rows = new ProgressRows(job(0, LARGEST));
    ProgressRecord.Builder progress = checkpoints(LARGEST, 0).toBuilder();
    store(rows, rows(rows, progress.build()), ROW_BYTES);
    assertEquals(1, rows(rows, progress.build()).size());
    progress.getStepsBuilder(0).getNotesBuilder(4_000).setCheckpointAttempt(2_001);
    assertEquals(2, rows(rows, progress.build()).size());
  }

  /**
   * Guards against a row that an earlier version can read, but takes for one without done tasks.
   */
  @Test
  void rowIsCompactOnlyOnceTheJobIsHidden() {
    Submission schedule = job(LARGEST / 2, 1, 1);
    ProgressRows rows = new ProgressRows(schedule);
    ProgressRecord.Builder progress = running();
    for (int i = 0; i < LARGEST; i += 2) {
      progress.addSteps(
          StepProgress.newBuilder().setOccurrence(i / 2).setStep(0).setDone(bits(first(1))));
      progress.addSteps(
          StepProgress.newBuilder()
              .setOccurrence(i / 2)
              .setStep(1)
              .setDoubted(bits(first(1)))
              .addNotes(checkpoint(0)));
    }
    assertEquals(Optional.empty(), rows.rows(progress.build(), ROW_BYTES, 0));
    assertTrue(rows.needsHiding());
    rows.setHidden();
    Map<String, ProgressRecord> stored = store(rows, rows(rows, progress.build()), ROW_BYTES);
    assertEquals(facts(progress.build()), facts(restored(schedule, stored)));
  }

  /** Guards against a job whose tasks have all that a note can hold, which fits nowhere. */
  @Test
  void largestNotesFitIntoTheSmallestRows() {
    Submission job = job(0, LARGEST);
    ProgressRows rows = new ProgressRows(job);
    rows.setHidden();
    StepProgress.Builder step = StepProgress.newBuilder().setDoubted(bits(first(LARGEST)));
    for (int i = 0; i < LARGEST; i++) {
      step.addNotes(largest(i));
    }
    ProgressRecord progress = running().addSteps(step).build();
    List<Write> writes = rows.rows(progress, RowLimits.MIN_ROW_BYTES, 0).orElseThrow();
    Map<String, ProgressRecord> stored = store(rows, writes, RowLimits.MIN_ROW_BYTES);
    ProgressRecord restored = restored(job, stored);
    // Checkpoints that leave no room for the rest of a note are dropped.
    assertEquals(facts(withoutCheckpoints(progress)), facts(withoutCheckpoints(restored)));
  }

  private static TaskNote largest(int index) {
    TaskNote.Builder note = checkpoint(index).setCheckpoint(CHECKPOINT.repeat(250));
    note.setFailures(Integer.MAX_VALUE).setFailedAttempt(Integer.MAX_VALUE).setPlace(LONGEST_NAME);
    for (int i = 0; i < 99; i++) {
      note.addOlderFailedAttempts(Integer.MAX_VALUE - i);
    }
    for (int i = 0; i < 4; i++) {
      note.addCrashes(
          CrashNote.newBuilder()
              .setAttempt(Integer.MAX_VALUE)
              .setWorker(LONGEST_NAME)
              .setAgeMillis(Long.MAX_VALUE)
              .setTelling(true));
      note.addStarts(
          StartNote.newBuilder()
              .setAttempt(Integer.MAX_VALUE)
              .setWorker(LONGEST_NAME)
              .setBornMillis(Long.MAX_VALUE)
              .setAddress("[0000:0000:0000:0000:0000:0000:0000:0000]:65535"));
    }
    return note.build();
  }

  private static ProgressRecord withoutCheckpoints(ProgressRecord progress) {
    ProgressRecord.Builder without = progress.toBuilder();
    without
        .getStepsBuilderList()
        .forEach(s -> s.getNotesBuilderList().forEach(TaskNote.Builder::clearCheckpoint));
    return without.build();
  }

  /**
   * Guards against progress that is lost if the holder ends between two rows: the next one finds
   * each task as it was last stored completely, or newer.
   */
  @Property(tries = 150, seed = "20261207")
  void nothingThatWasStoredIsLostBetweenTwoRows(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Submission job = job(1 + random.nextInt(4), 1 + random.nextInt(40), 1 + random.nextInt(40));
    Map<String, ProgressRecord> stored = new HashMap<>();
    Map<Integer, Integer> versions = new TreeMap<>();
    ProgressRows rows = new ProgressRows(job);
    rows.setHidden();
    int tasks = job.occurrences() * (job.steps().get(0).count() + job.steps().get(1).count());
    for (int i = 0; i < 30; i++) {
      Map<Integer, Integer> before = new TreeMap<>(versions);
      for (int change = random.nextInt(tasks + 1); change > 0; change--) {
        versions.merge(random.nextInt(tasks), 1, (old, one) -> Math.min(old + one, DONE));
      }
      List<Write> writes = rows.rows(versioned(job, versions), 400, 0).orElseThrow();
      boolean isLost = random.nextInt(3) == 0;
      int applied = isLost ? random.nextInt(writes.size()) : writes.size();
      for (Write write : writes.subList(0, applied)) {
        String key = write.row().key();
        stored.put(key, ProgressRows.parse(key, write.value()).orElseThrow());
        rows.onStored(write);
      }
      if (isLost) {
        rows = new ProgressRows(job);
        rows.setHidden();
        Map<Integer, Integer> found =
            versions(job, rows.restore(stored, null).orElse(running().build()));
        before.forEach(
            (task, version) ->
                assertTrue(
                    found.getOrDefault(task, 0) >= version,
                    () -> task + " of " + before + ", found " + found));
        found.forEach((task, version) -> assertTrue(version <= versions.getOrDefault(task, 0)));
        versions.clear();
        versions.putAll(found);
      }
    }
  }

  /** Returns progress in which the failures of each task are its version, until it is done. */
  private static ProgressRecord versioned(Submission job, Map<Integer, Integer> versions) {
    TaskNumbers numbers = new TaskNumbers(job);
    Map<Integer, StepProgress.Builder> steps = new TreeMap<>();
    versions.forEach(
        (task, version) -> {
          int occurrence = numbers.occurrence(task);
          int step = numbers.step(task);
          StepProgress.Builder progress =
              steps.computeIfAbsent(
                  numbers.number(occurrence, step, 0),
                  key -> StepProgress.newBuilder().setOccurrence(occurrence).setStep(step));
          int index = numbers.index(task);
          if (version < DONE) {
            progress.addNotes(checkpoint(index).setFailures(version));
          } else {
            BitSet done = BitSet.valueOf(progress.getDone().toByteArray());
            done.set(index);
            progress.setDone(bits(done));
          }
        });
    ProgressRecord.Builder record = running();
    steps.values().forEach(record::addSteps);
    return record.build();
  }

  private static Map<Integer, Integer> versions(Submission job, ProgressRecord progress) {
    TaskNumbers numbers = new TaskNumbers(job);
    Map<Integer, Integer> versions = new TreeMap<>();
    for (StepProgress step : progress.getStepsList()) {
      int first = numbers.number(step.getOccurrence(), step.getStep(), 0);
      for (TaskNote note : step.getNotesList()) {
        versions.merge(first + note.getIndex(), note.getFailures(), Math::max);
      }
    }
    for (StepProgress step : progress.getStepsList()) {
      int first = numbers.number(step.getOccurrence(), step.getStep(), 0);
      BitSet.valueOf(step.getDone().toByteArray()).stream()
          .forEach(index -> versions.put(first + index, DONE));
    }
    versions.values().removeAll(Collections.singleton(0));
    return versions;
  }

  private static ProgressRecord restored(Submission job, Map<String, ProgressRecord> stored) {
    return new ProgressRows(job).restore(stored, null).orElseThrow();
  }

  /** Returns what progress says of each step, however it is spread over entries. */
  private static Map<String, List<String>> facts(ProgressRecord progress) {
    Map<String, List<String>> facts = new TreeMap<>();
    for (StepProgress step : progress.getStepsList()) {
      List<String> all =
          facts.computeIfAbsent(
              step.getOccurrence() + "." + step.getStep(), key -> new ArrayList<>());
      step.getNotesList().forEach(note -> all.add(note.toString()));
      all.add("done " + BitSet.valueOf(step.getDone().toByteArray()));
      all.add("doubted " + BitSet.valueOf(step.getDoubted().toByteArray()));
      all.removeIf(fact -> fact.endsWith("{}"));
      Collections.sort(all);
    }
    facts.values().removeIf(List::isEmpty);
    return facts;
  }
}
