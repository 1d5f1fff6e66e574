import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What was sent, accepted and run; also the lock of all workers. */
final class Jobs {
  static final String SERVICE = "svc1";

  /** Number of breaks that are shown; the others stand in the record only. */
  private static final int MAX_SHOWN = 8;

  record Step(
      int count, long cpu, long memory, long workMillis, boolean lasting, boolean checkpointing) {}

  /** A submission as its caller knows it. */
  static final class Job {
    final String id;
    final String body;
    final List<Step> steps = new ArrayList<>();
    volatile boolean accepted;
    volatile String answer = "none";
    volatile long acceptedAt;

    /** Number of its tasks that run now. */
    int running;

    int starts;
    int done;
    int failedEnds;

    /** Names of its tasks that run now. */
    final Set<String> atWork = new HashSet<>();

    /** Time since which it has had nothing running. */
    long idleSince;

    Job(String id, String body) {
      this.id = id;
      this.body = body;
    }

    int tasks() {
      return steps.stream().mapToInt(Step::count).sum();
    }
  }

  final Map<String, Job> all = new LinkedHashMap<>();

  /** Rules that were seen to break. */
  final List<String> breaks = new ArrayList<>();

  private final Map<String, Integer> runningTasks = new HashMap<>();
  private final Log log;
  int starts;

  Jobs(Log log) {
    this.log = log;
  }

  /** Registers a submission. Steps have count, cpu, work and flags. */
  synchronized Job add(String id, ObjectNode body, long workMillis) {
    Job job = new Job(id, body.toString());
    for (JsonNode phase : body.path("phases")) {
      job.steps.add(
          new Step(
              phase.path("count").asInt(1),
              phase.path("cpu").asLong(),
              phase.path("mem_mb").asLong(),
              workMillis,
              phase.path("long_running").asBoolean(),
              phase.path("checkpointing").asBoolean()));
    }
    all.put(id, job);
    return job;
  }

  synchronized Step step(String task) {
    String[] parts = task.split("\\.");
    Job job = all.get(parts[0]);
    int step = Integer.parseInt(parts[2]);
    return job == null || step >= job.steps.size() ? null : job.steps.get(step);
  }

  private Job job(String task) {
    return all.get(task.substring(0, task.indexOf('.')));
  }

  void onStart(Worker worker, Worker.Run run) {
    Job job = job(run.task);
    job.running++;
    job.starts++;
    starts++;
    job.atWork.add(run.task);
    log.add("start " + run.task + " attempt " + run.attempt + " at " + worker.id);
    if (runningTasks.merge(run.task, 1, Integer::sum) > 1) {
      addBreak("TWICE: " + run.task + " runs twice at one time");
    }
    if (!worker.guards && worker.usedMemory() > worker.memory) {
      addBreak(
          "LIMIT: the start of %s brings %s, which has %d MB, to %d MB"
              .formatted(run.task, worker.id, worker.memory, worker.usedMemory()));
    }
    if (!worker.guards && worker.usedCpu() > worker.cpu) {
      addBreak(
          "LIMIT: the start of %s brings %s, which has %d millicores, to %d"
              .formatted(run.task, worker.id, worker.cpu, worker.usedCpu()));
    }
  }

  void onEnd(Worker worker, Worker.Run run, String how) {
    Job job = job(run.task);
    job.running--;
    job.atWork.remove(run.task);
    if (job.running == 0) {
      job.idleSince = log.now();
    }
    if (how.equals("done")) {
      job.done++;
    } else if (how.equals("failed")) {
      job.failedEnds++;
    }
    runningTasks.merge(run.task, -1, Integer::sum);
    log.add("end " + run.task + " attempt " + run.attempt + " " + how + " at " + worker.id);
  }

  synchronized void addBreak(String text) {
    breaks.add(text);
    if (breaks.size() <= MAX_SHOWN) {
      log.say(text);
    } else {
      log.add(text);
    }
  }
}
