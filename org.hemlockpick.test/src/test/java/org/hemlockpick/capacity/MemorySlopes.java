package org.hemlockpick.capacity;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryType;
import java.util.List;
import java.util.stream.IntStream;

/** Measures the heap that one entry instance uses at several populations. */
final class MemorySlopes {
  private static final int RUNS = 3;

  /** Number of full collections after which the serial collector has freed every dead object. */
  private static final int COLLECTIONS = 5;

  private final PrintStream out;

  MemorySlopes(PrintStream out) {
    this.out = out;
  }

  void print() {
    Report workers = report("heap by workers of the zone, a third of them owned", "workers");
    for (int size : List.of(54, 540, 1_500)) {
      workers.add(size, median(Population.ofWorkers(size)));
    }
    workers.print();
    Report tasks = report("heap by running tasks of the zone, a third of them here", "tasks");
    for (int size : List.of(0, 650, 1_950, 5_850)) {
      tasks.add(size, median(Population.ofTasks(size)));
    }
    tasks.print();
    Report customers = report("heap by customers with one change each", "customers");
    for (int size : List.of(43, 430, 1_720)) {
      customers.add(size, median(Population.ofContracts(size, size)));
    }
    customers.print();
    Report changes = report("heap by further changes of 430 contracts", "changes");
    for (int size : List.of(0, 600, 4_200)) {
      changes.add(size, median(Population.ofContracts(430, 430 + size)));
    }
    changes.print();
    Report requests = report("heap by open non-idempotent requests of 1 KiB", "requests");
    for (int size : List.of(0, 300, 900)) {
      requests.add(size, median(Population.ofRequests(size)));
    }
    requests.print();
    Report peers = report("heap by entry instances of other zones", "peers");
    for (int size : List.of(6, 81, 810)) {
      peers.add(size, median(Population.ofPeers(size)));
    }
    peers.print();
  }

  private Report report(String title, String sizeName) {
    return new Report(out, title, sizeName, "bytes, median of " + RUNS);
  }

  private static double median(Population population) {
    return IntStream.range(0, RUNS)
        .mapToDouble(run -> (double) bytes(population))
        .sorted()
        .skip(RUNS / 2)
        .findFirst()
        .orElseThrow();
  }

  private static long bytes(Population population) {
    Zone zone = new Zone(population, 0, 0);
    zone.resetMeasurements();
    long with = used();
    zone.first().releaseInstance();
    return with - used();
  }

  /** Returns the heap in use right after a full collection, without thread-local buffers. */
  private static long used() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryPoolMXBeans().stream()
        .filter(pool -> pool.getType() == MemoryType.HEAP)
        .mapToLong(pool -> pool.getCollectionUsage().getUsed())
        .sum();
  }
}
