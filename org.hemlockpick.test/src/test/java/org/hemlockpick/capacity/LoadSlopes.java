package org.hemlockpick.capacity;

import java.io.PrintStream;
import java.util.List;

/** Measures the processor time that task starts and requests take. */
final class LoadSlopes {
  private static final int SECONDS = 30;
  private static final long MILLIS = 1_000;
  private static final long TASK_MILLIS = 20_000;
  private static final long REQUEST_MILLIS = 100;
  private static final int TASKS_PER_JOB = 16;
  private static final double NANOS_PER_MICRO = 1_000;

  private final PrintStream out;

  LoadSlopes(PrintStream out) {
    this.out = out;
  }

  void print() {
    Report starts = report("second by starts of the zone, jobs of 16 tasks", "starts a second");
    for (int jobs : List.of(0, 15, 30, 60)) {
      starts.add((double) jobs * TASKS_PER_JOB / SECONDS, starts(jobs));
    }
    starts.print();
    Report requests = report("second by non-idempotent requests of the zone", "requests a second");
    for (int perSecond : List.of(0, 25, 100, 500)) {
      requests.add(perSecond, requests(perSecond));
    }
    requests.print();
  }

  private Report report(String title, String sizeName) {
    return new Report(out, title, sizeName, "us a second at one entry instance");
  }

  private static double starts(int jobs) {
    Zone zone = new Zone(Population.ofTasks(0), TASK_MILLIS, 0);
    submit(zone, jobs);
    zone.resetMeasurements();
    submit(zone, jobs);
    return microsPerSecond(zone);
  }

  private static void submit(Zone zone, int jobs) {
    for (int i = 0; i < jobs; i++) {
      zone.submit(TASKS_PER_JOB);
      zone.run(SECONDS * MILLIS / jobs);
    }
    if (jobs == 0) {
      zone.run(SECONDS * MILLIS);
    }
  }

  private static double requests(int perSecond) {
    Zone zone = new Zone(Population.ofTasks(0), 0, REQUEST_MILLIS);
    zone.resetMeasurements();
    int ticks = (int) (SECONDS * MILLIS / Zone.TICK_MILLIS);
    int ticksPerSecond = (int) (MILLIS / Zone.TICK_MILLIS);
    int sent = 0;
    for (int tick = 1; tick <= ticks; tick++) {
      while (sent < (long) tick * perSecond / ticksPerSecond) {
        zone.request(zone.nodes.get(sent % Zone.ENTRIES), false);
        sent++;
      }
      zone.run(Zone.TICK_MILLIS);
    }
    return microsPerSecond(zone);
  }

  /** Returns the mean over the zone's entry instances. */
  private static double microsPerSecond(Zone zone) {
    return zone.nodes.stream()
            .flatMap(node -> node.tickNanos().stream())
            .mapToLong(Long::longValue)
            .sum()
        / NANOS_PER_MICRO
        / SECONDS
        / Zone.ENTRIES;
  }
}
