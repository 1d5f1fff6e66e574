package org.hemlockpick.platform.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Checks every run and every reply, and records violations. Guarded by the world's lock. */
final class Oracle {
  private static final Set<String> FINAL = Set.of("completed", "failed", "cancelled");

  /** Crashes under a task from which its job may be shown as failed. */
  private static final int EXCUSING_CRASHES = 2;

  /** Crashes after which the starts of a task that caused them are counted. */
  private static final int BUDGET_CRASHES = 3;

  /** Starts after these crashes that break the rule. */
  private static final int MAX_STARTS_AFTER = 3;

  /** Time without a disturbance after which a process counts as sound, in milliseconds. */
  private static final long SOUND_AFTER_MILLIS = 4_000;

  private final World world;
  private final int maxAttempts;
  private final Map<String, JobView> jobs = new LinkedHashMap<>();
  private final Map<String, TaskView> tasks = new HashMap<>();
  private final TreeMap<Long, String> holders = new TreeMap<>();
  private final List<String> violations = new ArrayList<>();

  /** By process: the time of its newest disturbance, which may be to come. */
  private final Map<String, Long> disturbedAt = new HashMap<>();

  private @Nullable Consumer<SimWorker> onNextEnd;
  private long starts;
  private long ends;

  Oracle(World world, int maxAttempts) {
    this.world = world;
    this.maxAttempts = maxAttempts;
  }

  private static final class JobView {
    final JobPlan plan;
    boolean accepted;
    boolean refused;
    boolean unanswered;
    boolean cancelled;

    /** Whether its cancellation was acknowledged when it was not stored. */
    boolean cancelledBefore;

    boolean started;
    boolean reported;
    String state = "";

    JobView(JobPlan plan) {
      this.plan = plan;
    }
  }

  private static final class TaskView {
    final Map<SimWorker, SimRun> runs = new LinkedHashMap<>();
    final List<String> history = new ArrayList<>();
    boolean done;
    boolean acknowledged;
    int failures;

    /** Runs that ended as their worker crashed. */
    int crashes;

    /** Starts by sound processes after too many crashes. */
    int startsAfter;
  }

  /** Records until when a process is disturbed; a start is a disturbance, too. */
  void onDisturbed(String process, long untilMillis) {
    synchronized (world) {
      disturbedAt.merge(process, untilMillis, Math::max);
    }
  }

  void onLease(long version, String process) {
    holders.put(version, process);
  }

  void onSubmit(JobPlan plan) {
    jobs.putIfAbsent(plan.id(), new JobView(plan));
  }

  JobPlan plan(String task) {
    JobView job = jobs.get(jobOf(task));
    return job == null ? new JobPlan(jobOf(task), List.of(1), 1_000, false, false) : job.plan;
  }

  /** Returns whether a task may fail once more without failing its job. */
  boolean mayFail(String task) {
    TaskView view = tasks.get(task);
    return (view == null ? 0 : view.failures) + 1 < maxAttempts;
  }

  /** Registers a one-time callback with the worker of the next run that is done or fails. */
  void watchNextEnd(Consumer<SimWorker> watcher) {
    onNextEnd = watcher;
  }

  /** Records the reply to a submission; status 0 if there was none. */
  void onSubmitted(String id, int status, String process) {
    JobView job = job(id);
    if (status >= 200 && status < 300) {
      if (job.refused && !job.unanswered) {
        world.log("accepted after a refusal: " + id + " by " + process);
      }
      job.accepted = true;
    } else if (status == 429 || status == 503) {
      job.refused = true;
      checkRefused(job);
    } else {
      job.unanswered = true;
    }
  }

  /** Records that the cancellation of a job was acknowledged which was not stored. */
  void onCancelledBefore(String id) {
    job(id).cancelledBefore = true;
    world.log("cancelled before it was stored: " + id);
  }

  private void checkRefused(JobView job) {
    if (job.refused && job.started && !job.accepted && !job.unanswered) {
      addViolation("REFUSED", "job " + job.plan.id() + " was refused, and a task of it started");
    }
  }

  void onCancel(String id) {
    job(id).cancelled = true;
  }

  /** Returns whether a final state of a job was reported. */
  boolean isFinished(String id) {
    return FINAL.contains(job(id).state);
  }

  /**
   * Records the state of a job that a process reported; status 410 means an unknown job.
   *
   * @param finished whether a final state had been reported before this query was sent; the reply
   *     to an earlier query may arrive later
   */
  void onState(String id, boolean finished, int status, String state, String process) {
    JobView job = job(id);
    if (status == 410 && job.accepted) {
      addJobViolation(job, "LOST", "is unknown to " + process);
    }
    if (status != 200) {
      return;
    }
    switch (state) {
      case "failed" -> {
        if (taskViews(job).stream().noneMatch(this::mayFailItsJob)) {
          addJobViolation(
              job,
              "LOST",
              "is shown as failed by " + process + ", but no task failed often enough");
        }
      }
      case "completed" -> {
        if (taskViews(job).size() < job.plan.tasks()
            || taskViews(job).stream().anyMatch(task -> !task.done)) {
          addJobViolation(
              job, "LOST", "is shown as completed by " + process + ", but a task is not done");
        }
      }
      case "cancelled" -> {
        if (!job.cancelled) {
          addJobViolation(
              job, "LOST", "is shown as cancelled by " + process + ", but nobody cancelled it");
        }
      }
      default -> {
        if (finished) {
          addJobViolation(job, "LOST", "was " + job.state + " and is " + state + " for " + process);
        }
        if (FINAL.contains(job.state)) {
          return;
        }
      }
    }
    job.state = state;
  }

  private boolean mayFailItsJob(TaskView task) {
    return task.failures >= maxAttempts || task.crashes >= EXCUSING_CRASHES;
  }

  /** Records the jobs that did not finish in time. */
  void onEnd() {
    for (JobView job : jobs.values()) {
      if (job.accepted && !FINAL.contains(job.state)) {
        addJobViolation(
            job, "LOST", "did not finish after all faults had ended, state '" + job.state + "'");
      }
    }
  }

  boolean isOpen(String id) {
    JobView job = job(id);
    return job.accepted && !FINAL.contains(job.state);
  }

  void onStart(SimWorker worker, SimRun run, boolean late) {
    starts++;
    TaskView task = tasks.computeIfAbsent(run.task(), key -> new TaskView());
    String sender = describeSender(run.token()) + (late ? ", delayed" : "");
    task.history.add(
        wallClockTime() + " start " + run.attempt() + " at " + worker.label() + " by " + sender);
    JobView job = jobs.get(jobOf(run.task()));
    if (job == null) {
      addViolation("TWICE", "a task of no job starts: " + run + " by " + sender);
      return;
    }
    job.started = true;
    checkRefused(job);
    if (!task.runs.isEmpty()) {
      addViolation(
          "TWICE",
          "%s at %s by %s, while it runs: %s%s"
              .formatted(run, worker.label(), sender, formatRuns(task), formatHistory(task)));
    }
    if (task.acknowledged) {
      addViolation(
          "TWICE",
          "%s at %s by %s, after its completion was acknowledged%s"
              .formatted(run, worker.label(), sender, formatHistory(task)));
    }
    checkStepOrder(job, run, sender);
    if (job.cancelledBefore) {
      addViolation("UNASKED", run + " by " + sender + ", cancelled before it was stored");
    }
    if (job.plan.isDeadly(run.task()) && !late) {
      checkBudget(task, run, sender);
    }
    task.runs.put(worker, run);
  }

  /** Counts the starts of a task that crashes workers, by processes that were sound for a time. */
  private void checkBudget(TaskView task, SimRun run, String sender) {
    String process = holders.getOrDefault(run.token(), "nobody");
    if (task.crashes < BUDGET_CRASHES || !isSound(process)) {
      return;
    }
    task.startsAfter++;
    if (task.startsAfter == MAX_STARTS_AFTER) {
      String text = "%s by %s, the third start after three crashes%s";
      addViolation("BUDGET", text.formatted(run, sender, formatHistory(task)));
    }
  }

  private boolean isSound(String process) {
    long newest = disturbedAt.getOrDefault(process, Long.MIN_VALUE / 2);
    return world.now() - newest > SOUND_AFTER_MILLIS;
  }

  private void checkStepOrder(JobView job, SimRun run, String sender) {
    int step = Integer.parseInt(run.task().split("\\.", -1)[2]);
    for (int i = 0; step > 0 && i < job.plan.counts().get(step - 1); i++) {
      TaskView earlier = tasks.get(job.plan.id() + ".0." + (step - 1) + "." + i);
      if (earlier == null || !earlier.done) {
        addViolation("EARLY", run + " by " + sender + ", before the previous step was done");
        return;
      }
    }
  }

  void onEnd(SimWorker worker, SimRun run, String kind) {
    ends++;
    TaskView task = tasks.computeIfAbsent(run.task(), key -> new TaskView());
    task.runs.remove(worker);
    task.history.add(wallClockTime() + " " + kind + " " + run.attempt() + " at " + worker.label());
    task.done |= kind.equals("done");
    task.failures += kind.equals("failed") ? 1 : 0;
    task.crashes += kind.equals("crashed") ? 1 : 0;
    Consumer<SimWorker> watcher = onNextEnd;
    if (watcher != null && (kind.equals("done") || kind.equals("failed"))) {
      onNextEnd = null;
      watcher.accept(worker);
    }
  }

  /** Records that a completion was acknowledged to a worker whose lease had not expired. */
  void onAcknowledged(SimWorker worker, String name, String kind, long token) {
    TaskView task = tasks.computeIfAbsent(name, key -> new TaskView());
    task.history.add(
        wallClockTime()
            + " "
            + kind
            + " acknowledged at "
            + worker.label()
            + " by "
            + describeSender(token));
    task.acknowledged |= kind.equals("done");
  }

  /** Checks the checkpoint with which a task is started; empty if there is none. */
  void onCheckpoint(String task, String checkpoint) {
    if (!checkpoint.isEmpty() && !checkpoint.equals(JobPlan.checkpoint(task))) {
      addViolation("UNASKED", task + " was started with the checkpoint " + checkpoint);
    }
  }

  /** Records that the table service refuses a row for its size. */
  void onRowRefused(String row) {
    addViolation("ROW", row);
  }

  /** Logs an order whose token is lower than the highest one that the worker has seen. */
  void onOrder(SimWorker worker, String path, long token, long highestToken) {
    if (token < highestToken) {
      world.log("fenced: " + path + " at " + worker.label() + " by " + describeSender(token));
    }
  }

  List<String> violations() {
    return List.copyOf(violations);
  }

  String counts() {
    long accepted = jobs.values().stream().filter(job -> job.accepted).count();
    Map<String, Integer> states = new TreeMap<>();
    jobs.values().stream()
        .filter(job -> job.accepted)
        .forEach(job -> states.merge(job.state, 1, Integer::sum));
    return "%d jobs accepted of %d, %s, %d starts, %d ends, %d holders, %s"
        .formatted(
            accepted,
            jobs.size(),
            states,
            starts,
            ends,
            new HashSet<>(holders.values()).size(),
            deadlyCounts());
  }

  private String deadlyCounts() {
    List<Integer> crashes = new ArrayList<>();
    long givenUp = 0;
    for (JobView job : jobs.values()) {
      List<TaskView> views = taskViews(job);
      if (job.plan.deadly() && job.started) {
        crashes.add(views.stream().mapToInt(task -> task.crashes).max().orElse(0));
      } else if (job.state.equals("failed")) {
        givenUp += views.stream().noneMatch(task -> task.failures >= maxAttempts) ? 1 : 0;
      }
    }
    return "crashes under deadly tasks " + crashes + ", " + givenUp + " sound jobs given up";
  }

  long accepted() {
    return jobs.values().stream().filter(job -> job.accepted).count();
  }

  /** Describes the process whose lease write produced a fencing token. */
  String describeSender(long token) {
    return holders.getOrDefault(token, "nobody") + " (token " + token + ")";
  }

  private List<TaskView> taskViews(JobView job) {
    List<TaskView> views = new ArrayList<>();
    for (int step = 0; step < job.plan.counts().size(); step++) {
      for (int i = 0; i < job.plan.counts().get(step); i++) {
        TaskView view = tasks.get(job.plan.id() + ".0." + step + "." + i);
        if (view != null) {
          views.add(view);
        }
      }
    }
    return views;
  }

  private void addJobViolation(JobView job, String rule, String text) {
    if (job.reported) {
      return;
    }
    job.reported = true;
    StringBuilder histories = new StringBuilder();
    taskViews(job).forEach(task -> histories.append(formatHistory(task)));
    addViolation(rule, "job " + job.plan.id() + " " + text + histories);
  }

  private void addViolation(String rule, String text) {
    violations.add("%s at %d ms %s: %s".formatted(rule, world.now(), wallClockTime(), text));
    world.log("VIOLATION " + rule + " " + text);
  }

  private static String formatRuns(TaskView task) {
    StringBuilder text = new StringBuilder();
    task.runs.forEach((worker, run) -> text.append(worker.label()).append(": ").append(run));
    return text.toString();
  }

  private static String formatHistory(TaskView task) {
    return "\n      " + String.join("\n      ", task.history) + "\n      --";
  }

  private String wallClockTime() {
    return java.time.Instant.ofEpochMilli(world.wallMillis(world.now())).toString().substring(11);
  }

  private JobView job(String id) {
    JobView job = jobs.get(id);
    if (job == null) {
      throw new IllegalStateException("no such job: " + id);
    }
    return job;
  }

  private static String jobOf(String task) {
    return task.substring(0, Math.max(0, task.indexOf('.')));
  }
}
