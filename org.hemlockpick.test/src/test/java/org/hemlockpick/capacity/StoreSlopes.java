package org.hemlockpick.capacity;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Measures the table-service reads and writes of one zone at several loads. */
final class StoreSlopes {
  private static final int SECONDS = 60;
  private static final long TASK_MILLIS = 20_000;
  private static final long REQUEST_MILLIS = 100;
  private static final long MILLIS = 1_000;

  private final PrintStream out;

  StoreSlopes(PrintStream out) {
    this.out = out;
  }

  void print() {
    idle();
    for (int jobs : List.of(15, 55, 165)) {
      printStarts(jobs, 16);
    }
    printStarts(880, 1);
    printStarts(220, 4);
    printStarts(14, 64);
    for (int perSecond : List.of(1, 10, 100)) {
      print("non-idempotent requests, " + perSecond + " a second", requests(perSecond), "request");
    }
    for (int changes : List.of(0, 6, 60)) {
      print("configuration changes, " + changes + " a minute", changes(changes), "change");
    }
  }

  /** Submits jobs at an even rate and returns the store use of their task starts. */
  static StoreUse starts(int jobsPerMinute, int tasksPerJob) {
    Zone zone = new Zone(Population.ofTasks(0), TASK_MILLIS, 0);
    submit(zone, jobsPerMinute, tasksPerJob);
    zone.resetMeasurements();
    submit(zone, jobsPerMinute, tasksPerJob);
    return StoreUse.of(zone, zone.starts(), SECONDS);
  }

  /** Sends non-idempotent requests at an even rate and returns their store use. */
  static StoreUse requests(int perSecond) {
    Zone zone = new Zone(Population.ofRequests(0), 0, REQUEST_MILLIS);
    zone.resetMeasurements();
    long count = 0;
    for (int i = 0; i < SECONDS * perSecond; i++) {
      zone.request(zone.nodes.get(i % Zone.ENTRIES), false);
      zone.run(MILLIS / perSecond);
      count++;
    }
    return StoreUse.of(zone, count, SECONDS);
  }

  private static void submit(Zone zone, int jobsPerMinute, int tasksPerJob) {
    for (int i = 0; i < jobsPerMinute; i++) {
      zone.submit(tasksPerJob);
      zone.run(SECONDS * MILLIS / jobsPerMinute);
    }
  }

  private static StoreUse changes(int perMinute) {
    Zone zone = new Zone(Population.ofContracts(430, 430), 0, 0);
    zone.resetMeasurements();
    for (int i = 0; i < perMinute; i++) {
      zone.apply(i, i + 1L);
      zone.run(SECONDS * MILLIS / perMinute);
    }
    if (perMinute == 0) {
      zone.run(SECONDS * MILLIS);
    }
    return StoreUse.of(zone, perMinute, SECONDS);
  }

  private void printStarts(int jobsPerMinute, int tasksPerJob) {
    String title = "starts, " + jobsPerMinute + " jobs a minute of tasks " + tasksPerJob;
    print(title, starts(jobsPerMinute, tasksPerJob), "start");
  }

  private void idle() {
    Zone zone = new Zone(Population.ofTasks(650), 0, 0);
    zone.resetMeasurements();
    zone.run(SECONDS * MILLIS);
    print("idle, 650 running tasks in 41 jobs", StoreUse.of(zone, 0, SECONDS), "");
  }

  private void print(String title, StoreUse use, String unit) {
    out.printf("%n## store: %s%n%n| kind | a second in the zone |%n| --- | ---: |%n", title);
    Map<String, Double> kinds = new TreeMap<>(use.perSecond());
    kinds.forEach((kind, count) -> out.printf(Locale.ROOT, "| %s | %.3f |%n", kind, count));
    if (!unit.isEmpty()) {
      out.printf(
          Locale.ROOT,
          "%n%d %ss: %.3f transactions, %.3f reads, %.3f rows written each%n",
          use.units(),
          unit,
          use.writesEach(),
          use.readsEach(),
          use.rowsEach());
    }
    kinds.forEach(
        (kind, count) -> out.printf(Locale.ROOT, "csv,store %s,%s,%.4f%n", title, kind, count));
  }
}
