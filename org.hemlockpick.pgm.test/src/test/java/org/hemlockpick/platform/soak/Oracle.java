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

/** Sees every run and every answer, and takes note of broken rules. Under the world's lock. */
final class Oracle {
  private static final Set<String> FINAL = Set.of("completed", "failed", "cancelled");

  private final World world;
  private final int maxAttempts;
  private final Map<String, JobView> jobs = new LinkedHashMap<>();
  private final Map<String, TaskView> tasks = new HashMap<>();
  private final TreeMap<Long, String> holders = new TreeMap<>();
  private final List<String> breaches = new ArrayList<>();
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
    boolean started;
    boolean told;
    String state = "";

    JobView(JobPlan plan) {
      this.plan = plan;
    }
  }

  private static final class TaskView {
    final Map<SimWorker, SimRun> runs = new LinkedHashMap<>();
    final List<String> story = new ArrayList<>();
    boolean done;
    boolean noted;
    int failures;
  }

  void onLease(long version, String process) {
    holders.put(version, process);
  }

  void onSubmit(JobPlan plan) {
    jobs.putIfAbsent(plan.id(), new JobView(plan));
  }

  JobPlan plan(String task) {
    JobView job = jobs.get(jobOf(task));
    return job == null ? new JobPlan(jobOf(task), List.of(1), 1_000, false) : job.plan;
  }

  /** Tells whether a task may fail once more without failing its job. */
  boolean mayFail(String task) {
    TaskView view = tasks.get(task);
    return (view == null ? 0 : view.failures) + 1 < maxAttempts;
  }

  /** Tells a watcher once of the worker at which the next run ends by itself. */
  void watchNextEnd(Consumer<SimWorker> watcher) {
    onNextEnd = watcher;
  }

  /** Takes the answer to a submission; status 0 if there was none. */
  void onSubmitted(String id, int status, String process) {
    JobView job = job(id);
    if (status >= 200 && status < 300) {
      if (job.refused && !job.unanswered) {
        world.note("accepted after a refusal: " + id + " by " + process);
      }
      job.accepted = true;
    } else if (status == 429 || status == 503) {
      job.refused = true;
      checkRefused(job);
    } else {
      job.unanswered = true;
    }
  }

  private void checkRefused(JobView job) {
    if (job.refused && job.started && !job.accepted && !job.unanswered) {
      breach("REFUSED", "job " + job.plan.id() + " was refused, and a task of it started");
    }
  }

  void onCancel(String id) {
    job(id).cancelled = true;
  }

  /** Tells whether a final state of a job was told. */
  boolean hasEnded(String id) {
    return FINAL.contains(job(id).state);
  }

  /**
   * Takes the state that a process told of a job; status 410 stands for an unknown job.
   *
   * @param ended whether a final state had been told before this one was asked for; one that was
   *     asked for earlier may be told later
   */
  void onState(String id, boolean ended, int status, String state, String process) {
    JobView job = job(id);
    if (status == 410 && job.accepted) {
      tell(job, "LOST", "is unknown to " + process);
    }
    if (status != 200) {
      return;
    }
    switch (state) {
      case "failed" -> {
        if (view(job).stream().noneMatch(task -> task.failures >= maxAttempts)) {
          tell(job, "LOST", "is shown as failed by " + process + ", no task failed so often");
        }
      }
      case "completed" -> {
        if (view(job).size() < job.plan.tasks()
            || view(job).stream().anyMatch(task -> !task.done)) {
          tell(job, "LOST", "is shown as completed by " + process + ", a task is not done");
        }
      }
      case "cancelled" -> {
        if (!job.cancelled) {
          tell(job, "LOST", "is shown as cancelled by " + process + ", nobody cancelled it");
        }
      }
      default -> {
        if (ended) {
          tell(job, "LOST", "was " + job.state + " and is " + state + " for " + process);
        }
        if (FINAL.contains(job.state)) {
          return;
        }
      }
    }
    job.state = state;
  }

  /** Takes note of the jobs that did not end in time. */
  void onEnd() {
    for (JobView job : jobs.values()) {
      if (job.accepted && !FINAL.contains(job.state)) {
        tell(job, "LOST", "did not end after all faults had ended, state '" + job.state + "'");
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
    String by = ordered(run.token()) + (late ? ", carried out late" : "");
    task.story.add(at() + " start " + run.attempt() + " at " + worker.label() + " by " + by);
    JobView job = jobs.get(jobOf(run.task()));
    if (job == null) {
      breach("TWICE", "a task of no job starts: " + run + " by " + by);
      return;
    }
    job.started = true;
    checkRefused(job);
    if (!task.runs.isEmpty()) {
      breach(
          "TWICE",
          "%s at %s by %s, while it runs: %s%s"
              .formatted(run, worker.label(), by, others(task), story(task)));
    }
    if (task.noted) {
      breach(
          "TWICE",
          "%s at %s by %s, after its end was taken note of%s"
              .formatted(run, worker.label(), by, story(task)));
    }
    checkOrder(job, run, by);
    task.runs.put(worker, run);
  }

  private void checkOrder(JobView job, SimRun run, String by) {
    int step = Integer.parseInt(run.task().split("\\.", -1)[2]);
    for (int i = 0; step > 0 && i < job.plan.counts().get(step - 1); i++) {
      TaskView earlier = tasks.get(job.plan.id() + ".0." + (step - 1) + "." + i);
      if (earlier == null || !earlier.done) {
        breach("EARLY", run + " by " + by + ", before the step before it was done");
        return;
      }
    }
  }

  void onEnd(SimWorker worker, SimRun run, String how) {
    ends++;
    TaskView task = tasks.computeIfAbsent(run.task(), key -> new TaskView());
    task.runs.remove(worker);
    task.story.add(at() + " " + how + " " + run.attempt() + " at " + worker.label());
    task.done |= how.equals("done");
    task.failures += how.equals("failed") ? 1 : 0;
    Consumer<SimWorker> watcher = onNextEnd;
    if (watcher != null && (how.equals("done") || how.equals("failed"))) {
      onNextEnd = null;
      watcher.accept(worker);
    }
  }

  /** Takes note that an end was confirmed to a worker whose lease had not ended. */
  void onConfirmed(SimWorker worker, String name, String how, long token) {
    TaskView task = tasks.computeIfAbsent(name, key -> new TaskView());
    task.story.add(at() + " " + how + " noted at " + worker.label() + " by " + ordered(token));
    task.noted |= how.equals("done");
  }

  /** Takes note of an order whose token is lower than the newest lease, older than a time. */
  void onOrder(SimWorker worker, String path, long token, long seen) {
    if (token < seen) {
      world.note("fenced: " + path + " at " + worker.label() + " by " + ordered(token));
    }
  }

  List<String> breaches() {
    return List.copyOf(breaches);
  }

  String counts() {
    long accepted = jobs.values().stream().filter(job -> job.accepted).count();
    Map<String, Integer> states = new TreeMap<>();
    jobs.values().stream()
        .filter(job -> job.accepted)
        .forEach(job -> states.merge(job.state, 1, Integer::sum));
    return "%d jobs accepted of %d, %s, %d starts, %d ends, %d holders"
        .formatted(
            accepted, jobs.size(), states, starts, ends, new HashSet<>(holders.values()).size());
  }

  long accepted() {
    return jobs.values().stream().filter(job -> job.accepted).count();
  }

  /** Returns the process that wrote the lease with which a fencing token came. */
  String ordered(long token) {
    return holders.getOrDefault(token, "nobody") + " (token " + token + ")";
  }

  private List<TaskView> view(JobView job) {
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

  private void tell(JobView job, String rule, String text) {
    if (job.told) {
      return;
    }
    job.told = true;
    StringBuilder stories = new StringBuilder();
    view(job).forEach(task -> stories.append(story(task)));
    breach(rule, "job " + job.plan.id() + " " + text + stories);
  }

  private void breach(String rule, String text) {
    breaches.add("%s at %d ms %s: %s".formatted(rule, world.now(), at(), text));
    world.note("BREACH " + rule + " " + text);
  }

  private static String others(TaskView task) {
    StringBuilder text = new StringBuilder();
    task.runs.forEach((worker, run) -> text.append(worker.label()).append(": ").append(run));
    return text.toString();
  }

  private static String story(TaskView task) {
    return "\n      " + String.join("\n      ", task.story) + "\n      --";
  }

  private String at() {
    return java.time.Instant.ofEpochMilli(world.wall(world.now())).toString().substring(11);
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
