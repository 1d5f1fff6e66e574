package org.hemlockpick.cell;

import java.util.BitSet;
import org.hemlockpick.cell.TaskCrashes.Crash;
import org.hemlockpick.proto.CrashNote;
import org.hemlockpick.proto.StartNote;
import org.hemlockpick.proto.TaskNote;

/** Converts what is known of the crashes of a task to and from its stored form. */
final class CrashNotes {
  private CrashNotes() {}

  /** Adds the crashes that a task may have caused, and its watched starts, to what is stored. */
  static void encode(TaskCrashes crashes, TaskNote.Builder note) {
    crashes.all().forEach(crash -> note.addCrashes(encode(crash)));
    crashes.starts().forEach(start -> note.addStarts(encode(start)));
  }

  /** Returns the tasks of a step that are in doubt, by index. */
  static BitSet doubted(StepRun run) {
    BitSet doubted = new BitSet(run.tasks().size());
    for (Task task : run.tasks()) {
      doubted.set(task.index(), !task.isDone() && task.crashes().isDoubted());
    }
    return doubted;
  }

  /** Restores which tasks of a step an earlier holder had in doubt. */
  static void restoreDoubted(BitSet doubted, StepRun run) {
    doubted.stream()
        .filter(index -> index < run.tasks().size())
        .forEach(index -> run.tasks().get(index).crashes().setDoubted());
  }

  /** Restores what an earlier holder has stored; earlier versions stored doubts here, too. */
  static void restore(TaskNote note, TaskCrashes crashes) {
    note.getCrashesList().forEach(crash -> crashes.add(decode(crash)));
    note.getStartsList().forEach(start -> crashes.watch(decode(start)));
    if (note.getDoubted()) {
      crashes.setDoubted();
    }
  }

  private static CrashNote encode(Crash crash) {
    return CrashNote.newBuilder()
        .setAttempt(crash.attempt())
        .setWorker(crash.worker())
        .setAgeMillis(crash.ageMillis())
        .setTelling(crash.telling())
        .build();
  }

  private static Crash decode(CrashNote note) {
    return new Crash(note.getAttempt(), note.getWorker(), note.getAgeMillis(), note.getTelling());
  }

  private static StartNote encode(WatchedStart start) {
    return StartNote.newBuilder()
        .setAttempt(start.attempt())
        .setWorker(start.worker())
        .setBornMillis(start.bootTimeMillis())
        .setAddress(start.address())
        .build();
  }

  private static WatchedStart decode(StartNote note) {
    return new WatchedStart(
        note.getAttempt(), note.getWorker(), note.getBornMillis(), note.getAddress());
  }
}
