package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.proto.TaskRef;

/** Checks that no attempt starts twice and no task runs on two workers at once. */
final class RunLog {
  private record TaskName(String job, int index) {}

  private final Map<TaskRef, String> attemptStartedAt = new HashMap<>();
  final List<String> faults = new ArrayList<>();
  private int starts;

  int starts() {
    return starts;
  }

  void started(String boot, TaskRef ref) {
    starts++;
    String previous = attemptStartedAt.putIfAbsent(ref, boot);
    if (previous != null) {
      faults.add("started twice, at " + previous + " and " + boot + ": " + text(ref));
    }
  }

  /** Records a fault for each task that runs on two workers now. */
  void check(Collection<FakeWorker> workers) {
    Set<TaskName> running = new HashSet<>();
    for (FakeWorker worker : workers) {
      for (TaskRef ref : worker.running()) {
        if (!running.add(new TaskName(ref.getJob(), ref.getIndex()))) {
          faults.add("runs in two places: " + text(ref) + " also at " + worker.name);
        }
      }
    }
  }

  private static String text(TaskRef ref) {
    return ref.getJob() + "/" + ref.getIndex() + " attempt " + ref.getAttempt();
  }
}
