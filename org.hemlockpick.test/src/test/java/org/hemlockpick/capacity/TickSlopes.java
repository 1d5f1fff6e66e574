package org.hemlockpick.capacity;

import java.io.PrintStream;
import java.util.List;

/** Measures the processor time of ticks at several populations. */
final class TickSlopes {
  private static final long WARM_UP_MILLIS = 10_000;
  private static final long MEASURED_MILLIS = 20_000;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final PrintStream out;

  TickSlopes(PrintStream out) {
    this.out = out;
  }

  void print() {
    new Zone(Population.ofTasks(650), 0, 0).run(WARM_UP_MILLIS);
    Series workers = new Series("workers of the zone, a third of them owned", "workers");
    for (int size : List.of(54, 162, 540, 1_500, 4_500)) {
      workers.add(size, Population.ofWorkers(size));
    }
    workers.print();
    Series tasks = new Series("running tasks of the zone, a third of them here", "tasks");
    for (int size : List.of(0, 650, 1_950, 18_100)) {
      tasks.add(size, Population.ofTasks(size));
    }
    tasks.print();
    Series peers = new Series("entry instances of other zones", "peers");
    for (int size : List.of(6, 81, 810)) {
      peers.add(size, Population.ofPeers(size));
    }
    peers.print();
    Series customers = new Series("customers with a contract", "customers");
    for (int size : List.of(43, 430, 1_720)) {
      customers.add(size, Population.ofContracts(size, size));
    }
    customers.print();
    Series requests = new Series("open requests of 1 KiB", "requests");
    for (int size : List.of(0, 300, 900)) {
      requests.add(size, Population.ofRequests(size));
    }
    requests.print();
  }

  private final class Series {
    private final Report median;
    private final Report second;

    Series(String title, String sizeName) {
      median = new Report(out, "tick by " + title, sizeName, "median of a tick, us");
      second = new Report(out, "second by " + title, sizeName, "us a second, 50 ticks");
    }

    void add(int size, Population population) {
      Zone zone = new Zone(population, 0, 0);
      zone.run(WARM_UP_MILLIS);
      zone.resetMeasurements();
      zone.run(MEASURED_MILLIS);
      List<Long> nanos = zone.first().tickNanos();
      long sum = nanos.stream().mapToLong(Long::longValue).sum();
      median.add(size, nanos.get(nanos.size() / 2) / NANOS_PER_MICRO);
      second.add(size, sum / NANOS_PER_MICRO / (MEASURED_MILLIS / MILLIS_PER_SECOND));
    }

    void print() {
      median.print();
      second.print();
    }
  }
}
