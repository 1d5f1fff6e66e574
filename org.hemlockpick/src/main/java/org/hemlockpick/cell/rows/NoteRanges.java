package org.hemlockpick.cell.rows;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.StepProgress;
import org.hemlockpick.proto.TaskNote;

/**
 * Spreads notes of the tasks of a job over rows, each for a range of task numbers. A range whose
 * notes outgrow a row is divided; ranges are never joined, so that a row is only ever shortened
 * after the rows that take over its tasks were written.
 */
final class NoteRanges {
  /**
   * Format of the rows. Earlier versions, which know only rows of jobs, pass over rows of other
   * formats.
   */
  static final int FORMAT = 2;

  /** Stands for a range of which it is not known what is stored; no value has this hash. */
  private static final HashCode UNKNOWN = HashCode.fromInt(0);

  /**
   * Hashes of the values with which the ranges are stored, by their first task numbers. Each range
   * ends where the next one begins.
   */
  private final TreeMap<Integer, HashCode> ranges = new TreeMap<>();

  /** The note of a task. */
  record Note(int number, int occurrence, int step, TaskNote note) {
    Note withoutCheckpoint() {
      return new Note(number, occurrence, step, note.toBuilder().clearCheckpoint().build());
    }
  }

  /** A range with its notes, as it is written. */
  record Range(int first, ByteString value) {}

  /** Returns the first task numbers of the ranges that may be stored. */
  Collection<Integer> firsts() {
    return Collections.unmodifiableSet(ranges.keySet());
  }

  /** Adds a range that an earlier holder stored. */
  void addStored(int first) {
    ranges.put(first, UNKNOWN);
  }

  /** Returns whether a note belongs to the row of a range, and not to a later one. */
  boolean covers(int first, int number) {
    return number >= first && ranges.floorKey(number) == first;
  }

  void clear() {
    ranges.clear();
  }

  /** Records that the notes of a range are stored. */
  void onStored(int first, ByteString value) {
    ranges.put(first, hash(value));
  }

  /**
   * Returns the ranges whose notes are not known to be stored, the last ones first: where a range
   * was divided, its second part must not be missing while the first one is shorter.
   *
   * @param notes all notes, in the order of their numbers
   * @param maxBytes largest value of a row
   */
  List<Range> changed(List<Note> notes, int maxBytes) {
    // Missing also where an earlier holder ended before it had written the first one.
    ranges.putIfAbsent(0, UNKNOWN);
    List<Range> changed = new ArrayList<>();
    int from = 0;
    for (int first : List.copyOf(ranges.keySet())) {
      Integer next = ranges.higherKey(first);
      int to = from;
      while (to < notes.size() && (next == null || notes.get(to).number() < next)) {
        to++;
      }
      divide(first, notes.subList(from, to), maxBytes, changed);
      from = to;
    }
    Collections.reverse(changed);
    changed.forEach(range -> ranges.put(range.first(), UNKNOWN));
    return changed;
  }

  private void divide(int first, List<Note> notes, int maxBytes, List<Range> changed) {
    ByteString value = encode(notes);
    if (value.size() > maxBytes && notes.size() > 1) {
      int half = notes.size() / 2;
      divide(first, notes.subList(0, half), maxBytes, changed);
      divide(notes.get(half).number(), notes.subList(half, notes.size()), maxBytes, changed);
      return;
    }
    if (value.size() > maxBytes) {
      // The work since the task's start is done again if its worker is lost with the holder.
      value = encode(List.of(notes.get(0).withoutCheckpoint()));
    }
    if (!hash(value).equals(ranges.get(first))) {
      changed.add(new Range(first, value));
    }
  }

  private static ByteString encode(List<Note> notes) {
    Map<Long, StepProgress.Builder> steps = new TreeMap<>();
    for (Note note : notes) {
      long key = ((long) note.occurrence() << Integer.SIZE) | note.step();
      steps
          .computeIfAbsent(
              key,
              missing ->
                  StepProgress.newBuilder().setOccurrence(note.occurrence()).setStep(note.step()))
          .addNotes(note.note());
    }
    ProgressRecord.Builder record = ProgressRecord.newBuilder().setFormat(FORMAT);
    steps.values().forEach(record::addSteps);
    return record.build().toByteString();
  }

  private static HashCode hash(ByteString value) {
    return Hashing.murmur3_128().hashBytes(value.asReadOnlyByteBuffer());
  }
}
