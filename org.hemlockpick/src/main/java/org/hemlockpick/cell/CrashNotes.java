package org.hemlockpick.cell;

import org.hemlockpick.cell.TaskCrashes.Crash;
import org.hemlockpick.proto.CrashNote;

/** Converts the crashes of a task to and from their stored form. */
final class CrashNotes {
  private CrashNotes() {}

  static CrashNote encode(Crash crash) {
    return CrashNote.newBuilder()
        .setAttempt(crash.attempt())
        .setWorker(crash.worker())
        .setAgeMillis(crash.ageMillis())
        .setTelling(crash.telling())
        .build();
  }

  static Crash decode(CrashNote note) {
    return new Crash(note.getAttempt(), note.getWorker(), note.getAgeMillis(), note.getTelling());
  }
}
