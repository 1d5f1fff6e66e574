package org.hemlockpick.capacity;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Measures the bytes per second of each kind of message at several populations. */
final class MessageSlopes {
  private static final int SECONDS = 60;

  private final PrintStream out;

  MessageSlopes(PrintStream out) {
    this.out = out;
  }

  void print() {
    for (int size : List.of(6, 24, 81)) {
      table("peers elsewhere " + size, Population.ofPeers(size));
    }
    for (int size : List.of(54, 162, 540)) {
      table("workers of the zone " + size, Population.ofWorkers(size));
    }
    for (int size : List.of(0, 650, 1_950)) {
      table("tasks of the zone " + size, Population.ofTasks(size));
    }
    Report list = new Report(out, "whole instance list in JSON", "instances", "bytes");
    for (int size : List.of(54, 540, 1_584)) {
      list.add(size, Traffic.json(Zone.list(size)));
    }
    list.print();
    out.printf("%n## encoded size of typical messages%n%n| kind | bytes |%n| --- | ---: |%n");
    TypicalMessages.nonHeartbeats()
        .forEach((kind, message) -> out.printf("| %s | %d |%n", kind, message.getSerializedSize()));
  }

  private void table(String title, Population population) {
    Zone zone = new Zone(population, 0, 0);
    zone.resetMeasurements();
    zone.run(SECONDS * 1_000L);
    Map<String, Traffic.Count> counts = zone.first().traffic.counts();
    out.printf("%n## messages, %s%n%n", title);
    out.printf("| kind | a second | bytes each | bytes a second |%n| --- | ---: | ---: | ---: |%n");
    counts.forEach(
        (kind, count) ->
            out.printf(
                Locale.ROOT,
                "| %s | %.2f | %.0f | %.0f |%n",
                kind,
                (double) count.messages() / SECONDS,
                (double) count.bytes() / count.messages(),
                (double) count.bytes() / SECONDS));
    counts.forEach(
        (kind, count) ->
            out.printf(
                Locale.ROOT,
                "csv,messages %s,%s,%.2f%n",
                title,
                kind,
                (double) count.bytes() / SECONDS));
  }
}
