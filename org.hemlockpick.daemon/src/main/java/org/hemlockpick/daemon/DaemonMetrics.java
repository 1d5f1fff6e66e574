package org.hemlockpick.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hemlockpick.daemon.admission.RefusalReason;
import org.hemlockpick.errors.ResultCode;

/** Metrics of one process. Times are in microseconds. */
final class DaemonMetrics {
  private static final long WINDOW_SECONDS = 60;

  private final MetricRegistry registry = new MetricRegistry();
  private final Histogram requestLatency = histogram("request.latency.micros");
  private final Histogram tickTime = histogram("tick.micros");
  private final Counter storeCalls = registry.counter("store.calls");
  private final Counter blobCalls = registry.counter("blob.calls");
  private final Counter workerCalls = registry.counter("worker.calls");

  DaemonMetrics() {
    addGauge("memory.heap.bytes", ProcessMemory::heapBytes);
    addGauge("memory.resident.bytes", ProcessMemory::residentBytes);
  }

  /** Records a request and its latency. */
  void onRequest(ResultCode code, long nanos) {
    registry.counter("requests." + code.name()).inc();
    requestLatency.update(TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  /** Records a tick and its duration. */
  void onTick(long nanos) {
    tickTime.update(TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  /** Counts a request or a connection that the limits on callers ended. */
  void onRefused(RefusalReason reason) {
    registry.counter("callers.refused." + reason.name()).inc();
  }

  void onStoreCall() {
    storeCalls.inc();
  }

  void onBlobCall() {
    blobCalls.inc();
  }

  void onWorkerCall() {
    workerCalls.inc();
  }

  JsonObject toJson() {
    JsonObjectBuilder json = Json.createObjectBuilder();
    registry.getCounters().forEach((name, counter) -> json.add(name, counter.getCount()));
    registry.getGauges().forEach((name, gauge) -> json.add(name, (Long) gauge.getValue()));
    registry.getHistograms().forEach((name, histogram) -> json.add(name, histogramJson(histogram)));
    return json.build();
  }

  /** Registers a gauge whose value another component keeps. */
  void addGauge(String name, LongSupplier value) {
    Gauge<Long> gauge = value::getAsLong;
    registry.registerGauge(name, gauge);
  }

  private Histogram histogram(String name) {
    return registry.histogram(
        name,
        () -> new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)));
  }

  private static JsonObjectBuilder histogramJson(Histogram histogram) {
    Snapshot window = histogram.getSnapshot();
    return Json.createObjectBuilder()
        .add("count", histogram.getCount())
        .add("windowCount", window.size())
        .add("p50", window.getMedian())
        .add("p99", window.get99thPercentile())
        .add("p999", window.get999thPercentile())
        .add("max", window.getMax());
  }
}
