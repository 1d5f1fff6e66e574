package org.hemlockpick.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hemlockpick.cell.CallerReply;
import org.hemlockpick.cell.CellMetrics;

/**
 * Metrics of a process that is an entry instance of a cell. They are written without locks, and
 * read as text on another thread.
 */
public final class CellProcessMetrics implements CellMetrics {
  /** Number of slices of the window of a histogram. */
  private static final int SLICES = 6;

  private static final long SLICE_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final MetricRegistry registry = new MetricRegistry();
  private final Map<String, Map<Enum<?>, Counter>> groups = new ConcurrentHashMap<>();
  private final Map<String, BucketReservoir> reservoirs = new ConcurrentHashMap<>();
  private final Map<String, Histogram> histograms = new ConcurrentHashMap<>();
  private final Counter requestsInFlight = registry.counter("requests.inFlight");
  private volatile Map<String, Long> gauges = Map.of();
  private volatile long publishedNanos = System.nanoTime();
  private long rotatedNanos = System.nanoTime();

  /** Creates the metrics of a process that has counted nothing yet. */
  public CellProcessMetrics() {
    addGauge("gauges.age.millis", this::gaugesAgeMillis);
    addGauge("memory.heap.bytes", ProcessMemory::heapBytes);
    addGauge("memory.resident.bytes", ProcessMemory::residentBytes);
  }

  /** Registers a gauge whose value another component keeps; it is read on any thread. */
  public void addGauge(String name, LongSupplier value) {
    Gauge<Long> gauge = value::getAsLong;
    registry.registerGauge(name, gauge);
  }

  @Override
  public void count(String name) {
    registry.counter(name).inc();
  }

  @Override
  public void count(String group, Enum<?> detail) {
    Map<Enum<?>, Counter> counters = groups.get(group);
    if (counters == null) {
      counters = groups.computeIfAbsent(group, key -> new ConcurrentHashMap<>());
    }
    Counter counter = counters.get(detail);
    if (counter == null) {
      counter = counters.computeIfAbsent(detail, key -> registry.counter(group + "." + key.name()));
    }
    counter.inc();
  }

  @Override
  public void record(String name, long value) {
    Histogram histogram = histograms.get(name);
    if (histogram == null) {
      histogram = histograms.computeIfAbsent(name, this::newHistogram);
    }
    histogram.update(value);
  }

  @Override
  public void publish(Map<String, Long> newest) {
    gauges = newest;
    publishedNanos = System.nanoTime();
    for (String name : newest.keySet()) {
      registry.gauge(name, () -> () -> gauges.getOrDefault(name, 0L));
    }
    if (publishedNanos - rotatedNanos >= SLICE_NANOS) {
      rotatedNanos = publishedNanos;
      reservoirs.values().forEach(BucketReservoir::rotate);
    }
  }

  /** Records a turn of the loop by its duration. */
  public void onTick(long nanos) {
    record("tick.micros", TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  /** Counts a call of a caller that has arrived, and its answer once that is known. */
  public CompletableFuture<CallerReply> track(CompletableFuture<CallerReply> reply) {
    long arrivedNanos = System.nanoTime();
    requestsInFlight.inc();
    return reply.whenComplete(
        (answer, error) -> {
          requestsInFlight.dec();
          if (answer != null) {
            count("requests", answer.code());
            record(
                "request.latency.micros",
                TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrivedNanos));
          }
        });
  }

  /** Returns all metrics, one a line, as name and value. */
  String toText() {
    StringBuilder text = new StringBuilder();
    registry.getCounters().forEach((name, counter) -> append(text, name, counter.getCount()));
    registry
        .getGauges()
        .forEach((name, gauge) -> append(text, name, ((Number) gauge.getValue()).longValue()));
    registry.getHistograms().forEach((name, histogram) -> append(text, name, histogram));
    return text.toString();
  }

  private void append(StringBuilder text, String name, Histogram histogram) {
    Snapshot window = histogram.getSnapshot();
    append(text, name + ".count", histogram.getCount());
    append(text, name + ".windowCount", reservoir(name).size());
    append(text, name + ".p50", (long) window.getMedian());
    append(text, name + ".p99", (long) window.get99thPercentile());
    append(text, name + ".p999", (long) window.get999thPercentile());
    append(text, name + ".max", window.getMax());
  }

  private static void append(StringBuilder text, String name, long value) {
    text.append(name).append(' ').append(value).append('\n');
  }

  private Histogram newHistogram(String name) {
    return registry.histogram(name, () -> new Histogram(reservoir(name)));
  }

  private BucketReservoir reservoir(String name) {
    return reservoirs.computeIfAbsent(name, key -> new BucketReservoir(SLICES));
  }

  private long gaugesAgeMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - publishedNanos);
  }
}
