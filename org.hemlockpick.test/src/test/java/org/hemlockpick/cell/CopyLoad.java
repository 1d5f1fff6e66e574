package org.hemlockpick.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.DoubleStream;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.hemlockpick.fakes.VirtualTime;

/**
 * A load of urgent jobs whose run times have a long tail, on uneven workers, and how long its steps
 * take: in a cell with copies, without them, and first come first served. A run takes the same time
 * in all of them if it is at the same worker.
 */
final class CopyLoad {
  private static final long SETTLE_MILLIS = 3_000;
  private static final int WORKERS = 40;
  private static final long TASK_CPU = 2_000;
  private static final long MAX_MILLIS = 120_000;

  /** Share of the runs that take {@link #TAIL_FACTOR} times as long. */
  private static final double TAIL_SHARE = 0.03;

  private static final int TAIL_FACTOR = 7;

  /** How far a declared run time is from the usual one at most, as a share of it. */
  private static final double MAX_DECLARED_ERROR = 0.9;

  /** Time from the end of a task to the start of the next one at the same place. */
  private static final long TURNAROUND_MILLIS = 20;

  private final long seed;
  private final Kind kind;
  private final List<Plan> plans = new ArrayList<>();

  /** Factors by which runs at a worker take longer. */
  private final Map<String, Double> slowness = new HashMap<>();

  /** Number of additional runs in the last play. */
  int copies;

  /** Sum of the times of the runs in the last play that another one of their task overtook. */
  long wastedMillis;

  /**
   * A kind of load.
   *
   * @param jobs number of jobs
   * @param meanGapMillis mean time between two of them
   * @param isTailOfTask whether a task of the tail takes long wherever it runs
   */
  record Kind(int jobs, long meanGapMillis, boolean isTailOfTask) {}

  /** A job of one step, with the time at which it is submitted after the start. */
  private record Plan(String id, long atMillis, int tasks, long usualMillis, long declaredMillis) {}

  CopyLoad(long seed, Kind kind) {
    this.seed = seed;
    this.kind = kind;
    SplittableRandom random = new SplittableRandom(seed);
    long at = 0;
    for (int i = 0; i < kind.jobs(); i++) {
      // Two thirds of the time at half the mean rate, one third at twice that.
      double rate = (at / 10_000) % 3 == 2 ? 2 : 0.5;
      at += (long) (-Math.log(1 - random.nextDouble()) * kind.meanGapMillis() / rate);
      long usual = 600 + random.nextLong(800);
      double error = 1 + MAX_DECLARED_ERROR * (2 * random.nextDouble() - 1);
      plans.add(new Plan("j" + i, at, 1 + random.nextInt(10), usual, (long) (usual * error)));
    }
    for (int i = 0; i < WORKERS; i++) {
      double draw = random.nextDouble();
      slowness.put("w" + i, draw < 0.1 ? 2.0 : 1 + 0.4 * draw);
    }
  }

  /** Returns the run time of a run at a worker, in milliseconds. */
  private long runMillis(Plan plan, RunId run, String worker) {
    TaskId task = run.task();
    SplittableRandom random = new SplittableRandom(seed ^ (31L * task.toString().hashCode()));
    double spread = 0.9 + 0.2 * random.nextDouble();
    SplittableRandom tail = kind.isTailOfTask() ? random : ofRun(task, run.attempt());
    double factor = tail.nextDouble() < TAIL_SHARE ? TAIL_FACTOR : 1;
    return (long) (plan.usualMillis() * spread * factor * slowness.getOrDefault(worker, 1.0));
  }

  private SplittableRandom ofRun(TaskId task, int attempt) {
    return new SplittableRandom((seed + 17) ^ (task + "/" + attempt % 1_000).hashCode() * 91L);
  }

  /** Plays the load in a cell and returns the times that the steps took, in milliseconds. */
  List<Long> playInCell(boolean speculative) {
    CellWorld world = new CellWorld(seed, 1, WORKERS);
    Map<String, Plan> byJob = new HashMap<>();
    plans.forEach(plan -> byJob.put(plan.id(), plan));
    world.workers.runTimes =
        (run, worker) ->
            runMillis(Objects.requireNonNull(byJob.get(run.task().job())), run, worker);
    world.time.runFor(SETTLE_MILLIS);
    long start = world.time.millis();
    Map<String, Long> took = new HashMap<>();
    for (Plan plan : plans) {
      world.time.after(
          plan.atMillis(),
          () -> {
            world.submit(0, plan.id(), step(plan, speculative));
            watch(world, plan, start + plan.atMillis(), took);
          });
    }
    while (took.size() < plans.size() && world.time.millis() < start + 10 * MAX_MILLIS) {
      world.time.runFor(1_000);
    }
    if (!world.workers.violations.isEmpty()) {
      throw new IllegalStateException(world.workers.violations.toString());
    }
    List<Start> starts = world.workers.startLog;
    copies = starts.size() - plans.stream().mapToInt(Plan::tasks).sum();
    wastedMillis =
        world.holder().metrics().recorded("copies.wasted.millis").stream()
            .mapToLong(Long::longValue)
            .sum();
    return plans.stream().map(plan -> took.getOrDefault(plan.id(), MAX_MILLIS)).toList();
  }

  /** Records when the last task of a job is done, to within a tick. */
  private static void watch(CellWorld world, Plan plan, long since, Map<String, Long> took) {
    for (int i = 0; i < plan.tasks(); i++) {
      if (!world.workers.isDone(new TaskId(plan.id(), 0, 0, i))) {
        world.time.after(CellWorld.TICK_MILLIS, () -> watch(world, plan, since, took));
        return;
      }
    }
    took.put(plan.id(), world.time.millis() - since);
  }

  private static Step step(Plan plan, boolean speculative) {
    return new Step(
        plan.tasks(),
        new ResourceAmounts(TASK_CPU, 1_000, 0),
        plan.declaredMillis(),
        List.of(),
        false,
        false,
        false,
        null,
        null,
        0,
        speculative,
        false,
        "image",
        0,
        false,
        null);
  }

  /** Plays the load first come first served, where most CPU is free, without any delay of calls. */
  List<Long> playInOrder() {
    return new InOrder().play();
  }

  /** The load first come first served. */
  private final class InOrder {
    private final VirtualTime time = new VirtualTime(0);
    private final Map<String, Long> free = new HashMap<>();
    private final Deque<TaskId> waiting = new ArrayDeque<>();
    private final Map<String, Plan> byJob = new HashMap<>();
    private final Map<String, Integer> left = new HashMap<>();
    private final Map<String, Long> took = new HashMap<>();

    List<Long> play() {
      slowness.keySet().forEach(id -> free.put(id, CellWorld.WORKER_CAPACITY.cpuMillis()));
      for (Plan plan : plans) {
        byJob.put(plan.id(), plan);
        left.put(plan.id(), plan.tasks());
        time.after(plan.atMillis(), () -> add(plan));
      }
      time.runFor(10 * MAX_MILLIS);
      return plans.stream().map(plan -> took.getOrDefault(plan.id(), MAX_MILLIS)).toList();
    }

    private void add(Plan plan) {
      for (int i = 0; i < plan.tasks(); i++) {
        waiting.add(new TaskId(plan.id(), 0, 0, i));
      }
      place();
    }

    private void place() {
      while (!waiting.isEmpty()) {
        String worker =
            free.entrySet().stream()
                .max(Map.Entry.<String, Long>comparingByValue().thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey)
                .orElseThrow();
        if (free.getOrDefault(worker, 0L) < TASK_CPU) {
          return;
        }
        TaskId task = waiting.remove();
        Plan plan = Objects.requireNonNull(byJob.get(task.job()));
        free.merge(worker, -TASK_CPU, Long::sum);
        long millis = runMillis(plan, new RunId(task, 1), worker) + TURNAROUND_MILLIS;
        time.after(millis, () -> end(plan, worker));
      }
    }

    private void end(Plan plan, String worker) {
      free.merge(worker, TASK_CPU, Long::sum);
      if (left.merge(plan.id(), -1, Integer::sum) == 0) {
        took.put(plan.id(), time.millis() - plan.atMillis());
      }
      place();
    }
  }

  /** Returns how many of the steps of a play are later than the objective of urgent jobs. */
  long countLate(List<Long> took) {
    long late = 0;
    for (int i = 0; i < plans.size(); i++) {
      late += took.get(i) > 1.5 * plans.get(i).usualMillis() + 400 ? 1 : 0;
    }
    return late;
  }

  /** Returns a quantile of times. */
  static long quantile(List<Long> times, double share) {
    List<Long> sorted = times.stream().sorted(Comparator.naturalOrder()).toList();
    return sorted.get((int) Math.min(sorted.size() - 1L, (long) (share * sorted.size())));
  }

  /** Returns what the page says of some steps: quantiles in milliseconds and the late share. */
  static String row(List<Long> took, long late) {
    String quantiles =
        DoubleStream.of(0.5, 0.9, 0.97, 0.99, 1)
            .mapToObj(share -> Long.toString(quantile(took, share)))
            .collect(Collectors.joining(" | "));
    return quantiles + String.format(Locale.ROOT, " | %.1f%%", 100.0 * late / took.size());
  }
}
