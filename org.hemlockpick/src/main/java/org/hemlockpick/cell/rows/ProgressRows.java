package org.hemlockpick.cell.rows;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hemlockpick.cell.Submission;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.StepProgress;
import org.hemlockpick.proto.TaskNote;
import org.jspecify.annotations.Nullable;

/**
 * The rows in which the progress of a job is stored: one if it fits. Otherwise the checkpoints go
 * into further rows, each for a range of tasks; and if the rest outgrows the row, too, it becomes
 * compact: two bit sets, and all notes in the further rows. A job that has grown out of a form does
 * not return to it.
 */
public final class ProgressRows {
  /** Table of the rows, which the holder writes. */
  public static final String TABLE = "progress";

  /** Version of the format of a job's row; rows of another version count as unreadable. */
  private static final int FORMAT = 1;

  private static final String SEPARATOR = "/";

  /** Part of the row from which it is soon too large for earlier versions. */
  private static final int LARGE_DIVISOR = 2;

  private final String job;
  private final TaskNumbers numbers;
  private final NoteRanges ranges = new NoteRanges();

  /** Whether notes are in further rows. */
  private boolean split;

  private boolean compact;

  /** Whether the row is stored in a form in which notes are in further rows, or is compact. */
  private boolean storedFurther;

  private boolean storedCompact;

  /** Whether earlier versions pass over the job, so that its row may become compact. */
  private boolean hidden;

  /** Whether the row is so large that it may have to become compact. */
  private boolean large;

  /** Whether the job was ever set aside, so that its rows say when they were written. */
  private boolean setAside;

  /** Largest value of a row that the table service took for the job, as far as is known. */
  private int maxBytes = Integer.MAX_VALUE;

  /** Creates the rows of a job of which nothing is stored. */
  public ProgressRows(Submission job) {
    this.job = job.id();
    this.numbers = new TaskNumbers(job);
  }

  /** Returns the row of a job. */
  public static RowName row(String job) {
    return new RowName(TABLE, job);
  }

  /** Returns the row of the notes of a range of a job's tasks. */
  private static RowName row(String job, int first) {
    return new RowName(TABLE, job + SEPARATOR + first);
  }

  /** Returns the job to which a row of the table with this key belongs. */
  public static String job(String key) {
    int separator = key.indexOf(SEPARATOR);
    return separator < 0 ? key : key.substring(0, separator);
  }

  /** Returns the number of the first task of a row of notes; empty for a job's row. */
  private static Optional<Integer> first(String key) {
    int separator = key.indexOf(SEPARATOR);
    try {
      return separator < 0
          ? Optional.empty()
          : Optional.of(Integer.parseUnsignedInt(key.substring(separator + 1)));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Form in which the progress is stored. */
  public enum Form {
    /** All in one row. */
    WHOLE,
    /** Checkpoints in further rows. */
    SPLIT,
    /** All notes in further rows. */
    COMPACT
  }

  /** Returns the form in which the progress is stored. */
  public Form form() {
    if (compact) {
      return Form.COMPACT;
    }
    return split ? Form.SPLIT : Form.WHOLE;
  }

  /** Records that earlier versions pass over the job from now on. */
  public void setHidden() {
    hidden = true;
  }

  /** Returns whether earlier versions pass over the job. */
  public boolean isHidden() {
    return hidden;
  }

  /** Records that progress of the job is stored in the row of those that are set aside. */
  public void setSetAside() {
    setAside = true;
  }

  /**
   * Returns the progress for the row of the jobs that are set aside: without checkpoints.
   *
   * @param leaseVersion version of the lease's row
   */
  public ProgressRecord smallest(ProgressRecord progress, long leaseVersion) {
    ProgressRecord essential = withoutCheckpoints(progress);
    ProgressRecord.Builder smallest = compact(essential).toBuilder().setLeaseVersion(leaseVersion);
    for (StepProgress step : essential.getStepsList()) {
      if (step.getNotesCount() > 0) {
        smallest.addSteps(step.toBuilder().clearDone().clearDoubted());
      }
    }
    return smallest.build();
  }

  /** Returns whether earlier versions have to be made to pass over the job, as its row is large. */
  public boolean needsHiding() {
    return large && !hidden;
  }

  /**
   * Returns the rows that have to be written, in this order, so that the progress is stored; empty
   * if it cannot be before the job is hidden from earlier versions.
   *
   * @param progress all progress of the job, as a single row would hold it
   * @param rowBytes largest value of a row that the table service takes
   * @param leaseVersion version of the lease's row
   */
  public Optional<List<Write>> rows(ProgressRecord progress, int rowBytes, long leaseVersion) {
    return setAside
        ? rows(progress.toBuilder().setLeaseVersion(leaseVersion).build(), rowBytes)
        : rows(progress, rowBytes);
  }

  private Optional<List<Write>> rows(ProgressRecord progress, int rowBytes) {
    int limit = Math.min(rowBytes, maxBytes);
    if (!split && progress.getSerializedSize() <= limit) {
      return Optional.of(List.of(new Write(row(job), progress.toByteString())));
    }
    if (progress.getStepsCount() == 0) {
      // It has ended: nothing is left to be split.
      return Optional.of(List.of(new Write(row(job), progress.toByteString())));
    }
    split = true;
    ProgressRecord essential = withoutCheckpoints(progress);
    large |= essential.getSerializedSize() > limit / LARGE_DIVISOR;
    compact |= essential.getSerializedSize() > limit;
    if (compact && !hidden) {
      return Optional.empty();
    }
    List<Write> writes = new ArrayList<>();
    for (NoteRanges.Range range : ranges.changed(notes(progress), limit)) {
      writes.add(new Write(row(job, range.first()), range.value()));
    }
    ProgressRecord main = compact ? compact(progress) : essential;
    // Notes are missing nowhere: a task is done in its job's row before its note is left out, and
    // notes that leave this row are in another one before.
    boolean isFormStored = storedFurther && storedCompact == compact;
    writes.add(isFormStored ? 0 : writes.size(), new Write(row(job), main.toByteString()));
    return Optional.of(writes);
  }

  /** Records that a row is stored, which must be one of those that were returned last. */
  public void onStored(Write write) {
    Optional<Integer> first = first(write.row().key());
    if (first.isEmpty()) {
      storedFurther = split;
      storedCompact = compact;
    } else {
      ranges.onStored(first.get(), write.value());
    }
  }

  /**
   * Records that the table service refuses a row on its own.
   *
   * @return whether the job has rows that are smaller
   */
  public boolean shrink(Write refused) {
    int smaller = refused.value().size() / 2;
    if (smaller < RowLimits.MIN_ROW_BYTES) {
      maxBytes = Integer.MAX_VALUE;
      return false;
    }
    maxBytes = smaller;
    return true;
  }

  /** Returns all rows that may be stored besides that of the job. */
  public List<RowName> furtherRows() {
    return ranges.firsts().stream().map(first -> row(job, first)).toList();
  }

  /** Records that the further rows are removed. */
  public void clearFurtherRows() {
    ranges.clear();
  }

  private static ProgressRecord withoutCheckpoints(ProgressRecord progress) {
    ProgressRecord.Builder essential = progress.toBuilder().clearSteps();
    for (StepProgress step : progress.getStepsList()) {
      StepProgress.Builder left = step.toBuilder().clearNotes();
      for (TaskNote note : step.getNotesList()) {
        TaskNote rest = note.toBuilder().clearCheckpoint().clearCheckpointAttempt().build();
        if (!rest.equals(TaskNote.newBuilder().setIndex(note.getIndex()).build())) {
          left.addNotes(rest);
        }
      }
      essential.addSteps(left);
    }
    return essential.build();
  }

  private List<NoteRanges.Note> notes(ProgressRecord progress) {
    List<NoteRanges.Note> notes = new ArrayList<>();
    for (StepProgress step : progress.getStepsList()) {
      for (TaskNote note : step.getNotesList()) {
        if (compact || !note.getCheckpoint().isEmpty()) {
          int number = numbers.number(step.getOccurrence(), step.getStep(), note.getIndex());
          notes.add(
              new NoteRanges.Note(
                  number,
                  step.getOccurrence(),
                  step.getStep(),
                  compact ? note : checkpointOnly(note)));
        }
      }
    }
    notes.sort(Comparator.comparingInt(NoteRanges.Note::number));
    return notes;
  }

  private static TaskNote checkpointOnly(TaskNote note) {
    return TaskNote.newBuilder()
        .setIndex(note.getIndex())
        .setCheckpoint(note.getCheckpoint())
        .setCheckpointAttempt(note.getCheckpointAttempt())
        .build();
  }

  private ProgressRecord compact(ProgressRecord progress) {
    BitSet done = new BitSet();
    BitSet doubted = new BitSet();
    for (StepProgress step : progress.getStepsList()) {
      int first = numbers.number(step.getOccurrence(), step.getStep(), 0);
      bits(step.getDone()).stream().forEach(index -> done.set(first + index));
      bits(step.getDoubted()).stream().forEach(index -> doubted.set(first + index));
    }
    return progress.toBuilder()
        .clearSteps()
        .setCompact(true)
        .setDoneTasks(ByteString.copyFrom(done.toByteArray()))
        .setDoubtedTasks(ByteString.copyFrom(doubted.toByteArray()))
        .build();
  }

  private static BitSet bits(ByteString bytes) {
    return BitSet.valueOf(bytes.toByteArray());
  }

  /**
   * Restores the progress from the rows that earlier holders stored.
   *
   * @param stored the values of the rows by their keys
   * @param aside progress in the row of the jobs that are set aside; null if there is none
   * @return the progress as a single row would hold it; empty if there is none
   */
  public Optional<ProgressRecord> restore(
      Map<String, ProgressRecord> stored, @Nullable ProgressRecord aside) {
    Map<Integer, ProgressRecord> notes = new TreeMap<>();
    stored.forEach((key, row) -> first(key).ifPresent(first -> notes.put(first, row)));
    notes.keySet().forEach(ranges::addStored);
    split = !notes.isEmpty();
    ProgressRecord main = stored.get(job);
    setAside = aside != null || (main != null && main.getLeaseVersion() != 0);
    if (aside != null && isNewer(aside, main)) {
      return Optional.of(merge(aside, notes));
    }
    if (main == null) {
      return Optional.empty();
    }
    compact = main.getCompact();
    storedCompact = compact;
    // Whether checkpoints are in the row, too, is not looked up.
    storedFurther = compact;
    return Optional.of(merge(main, notes));
  }

  /** Returns whether progress that was set aside is newer than that of the job's row. */
  public static boolean isNewer(ProgressRecord aside, @Nullable ProgressRecord main) {
    return main == null || aside.getLeaseVersion() > main.getLeaseVersion();
  }

  private ProgressRecord merge(ProgressRecord main, Map<Integer, ProgressRecord> notes) {
    ProgressRecord.Builder merged = main.toBuilder().clearCompact().clearLeaseVersion();
    merged.clearDoneTasks().clearDoubtedTasks().clearSteps();
    if (!isFinal(main)) {
      notes.forEach((first, row) -> addNotes(first, row, merged));
    }
    merged.addAllSteps(main.getStepsList());
    return merged.addAllSteps(expand(main)).build();
  }

  private static boolean isFinal(ProgressRecord main) {
    return switch (main.getState()) {
      case JOB_COMPLETED, JOB_FAILED, JOB_CANCELED -> true;
      default -> false;
    };
  }

  private void addNotes(int first, ProgressRecord row, ProgressRecord.Builder merged) {
    for (StepProgress step : row.getStepsList()) {
      if (!numbers.hasStep(step.getStep())) {
        continue;
      }
      StepProgress.Builder covered = step.toBuilder().clearNotes();
      for (TaskNote note : step.getNotesList()) {
        int number = numbers.number(step.getOccurrence(), step.getStep(), note.getIndex());
        if (ranges.covers(first, number)) {
          // Until the row is compact, it is the newest but for checkpoints.
          covered.addNotes(compact ? note : checkpointOnly(note));
        }
      }
      merged.addSteps(covered);
    }
  }

  private Collection<StepProgress> expand(ProgressRecord main) {
    BitSet done = bits(main.getDoneTasks());
    BitSet doubted = bits(main.getDoubtedTasks());
    BitSet any = (BitSet) done.clone();
    any.or(doubted);
    List<StepProgress> steps = new ArrayList<>();
    for (int number = any.nextSetBit(0); number >= 0; ) {
      int occurrence = numbers.occurrence(number);
      int step = numbers.step(number);
      int first = numbers.number(occurrence, step, 0);
      int end = numbers.number(occurrence, step + 1, 0);
      steps.add(
          StepProgress.newBuilder()
              .setOccurrence(occurrence)
              .setStep(step)
              .setDone(ByteString.copyFrom(done.get(first, end).toByteArray()))
              .setDoubted(ByteString.copyFrom(doubted.get(first, end).toByteArray()))
              .build());
      number = any.nextSetBit(end);
    }
    return steps;
  }

  /** Returns the progress in a row; empty if the bytes cannot be read. */
  public static Optional<ProgressRecord> parse(String key, ByteString value) {
    try {
      ProgressRecord record = ProgressRecord.parseFrom(value);
      int format = key.contains(SEPARATOR) ? NoteRanges.FORMAT : FORMAT;
      return record.getFormat() == format ? Optional.of(record) : Optional.empty();
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}
