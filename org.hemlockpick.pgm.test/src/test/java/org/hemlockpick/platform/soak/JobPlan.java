package org.hemlockpick.platform.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * A job that callers submit. Each step depends on the previous one.
 *
 * @param counts number of tasks of each step
 * @param cpuMillis CPU demand of a task, in thousandths of a core
 * @param failsOften whether each task fails as often as possible without failing the job
 * @param deadly whether its first task crashes each worker that starts it
 */
record JobPlan(String id, List<Integer> counts, int cpuMillis, boolean failsOften, boolean deadly) {
  private static final int MEMORY_MB = 100;
  private static final int ESTIMATE_MILLIS = 2_500;

  /** Length of a checkpoint without the name of its task. */
  private static final int CHECKPOINT_FILL = 1_200;

  /** Returns the checkpoint of a task; few of them fit into a row. */
  static String checkpoint(String task) {
    return task + "-".repeat(CHECKPOINT_FILL);
  }

  /** Returns whether a task of this job crashes each worker that starts it. */
  boolean isDeadly(String task) {
    return deadly && task.endsWith(".0.0.0");
  }

  ObjectNode body() {
    ObjectNode body = StubHttpServer.newObject().put("spec", "soak");
    ArrayNode phases = body.putArray("phases");
    for (int i = 0; i < counts.size(); i++) {
      ObjectNode phase = phases.addObject().put("count", counts.get(i)).put("cpu", cpuMillis);
      phase.put("mem_mb", MEMORY_MB).put("estimate_ms", ESTIMATE_MILLIS);
      phase.put("checkpointing", true);
      if (i > 0) {
        phase.putArray("depends_on").add(i - 1);
      }
    }
    return body;
  }

  int tasks() {
    return counts.stream().mapToInt(Integer::intValue).sum();
  }
}
