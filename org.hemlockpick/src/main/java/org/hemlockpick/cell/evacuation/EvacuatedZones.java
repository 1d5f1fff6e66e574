package org.hemlockpick.cell.evacuation;

import com.google.common.collect.ImmutableMap;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hemlockpick.cell.ConfigurationSource;
import org.hemlockpick.cell.LoopClock;
import org.hemlockpick.cell.TableService;
import org.hemlockpick.cell.WorkerPort;
import org.hemlockpick.cell.evacuation.EvacuationReading.Moment;
import org.jspecify.annotations.Nullable;

/**
 * The availability zones that the operator evacuates. A reading proves nothing once it is so old
 * that an order may be carried out later than the bound after a request that it does not show: then
 * no task may be started anywhere until the next one.
 */
public final class EvacuatedZones {
  /** Part of the bound that covers differences of the clocks and a late tick, in milliseconds. */
  private static final long MARGIN_MILLIS = 500;

  /**
   * Divergence of the clocks since a reading was requested from which the process counts as
   * suspended, so that its age is not known; below {@link #MARGIN_MILLIS}.
   */
  private static final long SUSPENSION_MILLIS = 400;

  private final long maxAgeMillis;
  private final LoopClock clock;
  private final Listener listener;
  private final EvacuationReader reader;

  /** Times on the monotonic clock since which zones are evacuated as far as known, by zone. */
  private final Map<String, Long> since = new TreeMap<>();

  /** Time at which the newest reading was requested; null if a new one is required. */
  private @Nullable Moment readAt;

  /** Time since which a reading is required. */
  private Moment requiredAt;

  /** Receives changes. */
  public interface Listener {
    /** Called when a zone is to be evacuated. */
    void onRequested(String zone);

    /**
     * Called when the evacuation of a zone has ended.
     *
     * @param millis time for which it was evacuated as far as known, in milliseconds
     */
    void onEnded(String zone, long millis);
  }

  /**
   * Creates the state of a holder that has read nothing.
   *
   * @param boundMillis time after the confirmation of a request from which no task may be started
   *     in the zone
   */
  public EvacuatedZones(
      long boundMillis,
      TableService store,
      ConfigurationSource source,
      LoopClock clock,
      Listener listener) {
    this.maxAgeMillis = boundMillis - WorkerPort.ORDER_TIMEOUT_MILLIS - MARGIN_MILLIS;
    this.clock = clock;
    this.listener = listener;
    this.requiredAt = Moment.now(clock);
    this.reader = new EvacuationReader(store, source, clock, this::onRead);
  }

  /** Reads the requests, if it is time to. */
  public void run() {
    reader.run();
  }

  /** Requires a new reading, as the age of the last one is not known after a suspension. */
  public void requireRead() {
    readAt = null;
    requiredAt = Moment.now(clock);
    reader.requireRead();
  }

  private void onRead(EvacuationReading reading) {
    readAt = reading.requested();
    long now = clock.monotonicMillis();
    for (String zone : reading.zones()) {
      if (since.putIfAbsent(zone, now) == null) {
        listener.onRequested(zone);
      }
    }
    for (Map.Entry<String, Long> zone : ImmutableMap.copyOf(since).entrySet()) {
      if (!reading.zones().contains(zone.getKey())) {
        since.remove(zone.getKey());
        listener.onEnded(zone.getKey(), now - zone.getValue());
      }
    }
  }

  /** Returns whether the newest reading still proves which zones are not evacuated. */
  public boolean isFresh() {
    Moment now = Moment.now(clock);
    return readAt != null
        && ageMillis(now, readAt) <= maxAgeMillis
        && now.divergenceSince(readAt) < SUSPENSION_MILLIS;
  }

  /** Returns whether a zone is evacuated as far as known. */
  public boolean isEvacuated(String zone) {
    return since.containsKey(zone);
  }

  /** Returns whether a task may be started in a zone now. */
  public boolean mayStartIn(String zone) {
    return isFresh() && !isEvacuated(zone);
  }

  /** Returns the evacuated zones, in the order of their names. */
  public Set<String> zones() {
    return Collections.unmodifiableSet(since.keySet());
  }

  /**
   * Returns the age of the newest reading, or the time for which one has been required, in
   * milliseconds.
   */
  public long ageMillis() {
    return ageMillis(Moment.now(clock), readAt == null ? requiredAt : readAt);
  }

  private static long ageMillis(Moment now, Moment read) {
    return now.monotonicMillis() - read.monotonicMillis();
  }
}
