package org.hemlockpick.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.daemon.admission.CallerAdmission;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.StopOrder;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Runs one entry instance: the loop with its thread, its effects and the caller API. */
public final class EntryDaemon implements AutoCloseable {
  /** Longest time that a planned stop may take, in milliseconds. */
  public static final long MAX_STOP_MILLIS = 30_000;

  /** Time after the stop in which new connections are still accepted, in milliseconds. */
  private static final long CALLERS_ROUTED_MILLIS = 300;

  /**
   * Longest time after the stop in which requests that were begun are answered, in milliseconds.
   */
  private static final long DRAIN_LIMIT_MILLIS = 3_000;

  private static final Logger log = Logger.getLogger(EntryDaemon.class);

  private final Settings settings;
  private final InputQueue queue = new InputQueue();
  private final PendingExchanges exchanges = new PendingExchanges(queue);
  private final DaemonMetrics metrics = new DaemonMetrics();
  private final CompletableFuture<Void> ended = new CompletableFuture<>();
  private final CallerDrain drain = new CallerDrain(port -> true);
  private final InstantSource time = new MonotonicClock();
  private final OutputRouter router;
  private final Effects effects;
  private final LoopThread loop;
  private final @Nullable TraceWriter trace;
  private final CallerAdmission admission;
  private final ApiServer api;
  private boolean closed;

  private EntryDaemon(
      Settings settings, LoopFactory loopFactory, EffectsFactory effectsFactory, EventSink events)
      throws IOException {
    this.settings = settings;
    long startedAt = time.millis();
    long seed = System.nanoTime() ^ startedAt;
    TickClock clock = new TickClock(startedAt);
    trace = openTrace(settings, new TraceHeader(settings.instance(), startedAt, seed, startedAt));
    Loop core = loopFactory.create(settings.instance(), startedAt, clock, RandomSource.of(seed));
    effects = effectsFactory.create(settings, queue::put, this::lamportClock, metrics);
    router = new OutputRouter(exchanges, effects, events, metrics, this::onStopped);
    String name = settings.instance().name();
    loop =
        new LoopThread(
            name,
            queue,
            core,
            clock,
            time,
            router::route,
            this::onTick,
            ended::completeExceptionally);
    metrics.addGauge("queue.length", queue::length);
    admission =
        new CallerAdmission(
            settings.limits(), new ApiCallerPolicy(), metrics::onRefused, time::millis);
    metrics.addGauge("callers.connections", admission::openConnections);
    metrics.addGauge("callers.body.bytes", admission::bodyBytes);
    api = startServing(settings);
    log.infof(Messages.STARTED, name, startedAt, seed, api.port());
  }

  /**
   * Starts an entry instance that writes its timeline to the log.
   *
   * @param settings settings of the process
   * @throws IOException if an address or a file cannot be used
   */
  public static EntryDaemon start(Settings settings) throws IOException {
    Logging.install(settings.timeline());
    return start(settings, new TimelineLog());
  }

  /**
   * Starts an entry instance.
   *
   * @param settings settings of the process
   * @param events receives the timeline
   * @throws IOException if an address or a file cannot be used
   */
  public static EntryDaemon start(Settings settings, EventSink events) throws IOException {
    return start(settings, EntryLoop::new, NetworkEffects::new, events);
  }

  static EntryDaemon start(
      Settings settings, LoopFactory loopFactory, EffectsFactory effectsFactory, EventSink events)
      throws IOException {
    return new EntryDaemon(settings, loopFactory, effectsFactory, events);
  }

  /** Returns the port at which callers and operators connect. */
  public int callersPort() {
    return api.port();
  }

  /** Returns the port at which peers connect. */
  public int peersPort() {
    return effects.peersPort();
  }

  /** Replaces the addresses of the peers. */
  public void setPeers(Map<String, InetSocketAddress> addresses) {
    effects.setPeers(addresses);
  }

  /** Returns whether callers are served. */
  public boolean isReady() {
    return loop.isReady();
  }

  /** Begins the planned stop. */
  public void beginStop() {
    log.infov(Messages.STOP_REQUESTED, settings.instance().name());
    queue.put(Input.newBuilder().setStopOrder(StopOrder.getDefaultInstance()).build());
  }

  /**
   * Returns a future that completes with the planned stop or with the error that ended the loop.
   */
  public CompletableFuture<Void> ended() {
    return ended;
  }

  /**
   * Performs the planned stop and closes.
   *
   * @return whether the stop was completed in time
   */
  public boolean stop() {
    if (!ended.isDone()) {
      beginStop();
    }
    boolean complete =
        ended
            .thenApply(none -> true)
            .completeOnTimeout(false, MAX_STOP_MILLIS, TimeUnit.MILLISECONDS)
            .exceptionally(error -> false)
            .join();
    if (complete) {
      drainCallers();
    }
    log.infov(
        complete ? Messages.STOP_COMPLETE : Messages.STOP_TOO_SLOW, settings.instance().name());
    close();
    return complete;
  }

  /** Refuses new calls before the end of the stop can be seen. */
  private void onStopped() {
    exchanges.refuseNew();
    ended.complete(null);
  }

  /**
   * Refuses new calls and closes the connections of callers: one may already have sent its next
   * request, which closing at once would cut off.
   */
  private void drainCallers() {
    PlannedEnd.begin(drain, time.millis(), CALLERS_ROUTED_MILLIS, DRAIN_LIMIT_MILLIS)
        .await(time::millis, () -> true);
  }

  /** Closes everything at once; calls in flight are answered with an unknown outcome. */
  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    exchanges.refuseNew();
    loop.close();
    exchanges.close();
    api.close();
    effects.close();
    if (trace != null) {
      trace.close();
    }
  }

  private ApiServer startServing(Settings settings) throws IOException {
    try {
      effects.start();
      loop.start();
      return ApiServer.start(
          settings.callers(),
          exchanges,
          queue,
          loop,
          metrics,
          drain,
          admission,
          new CallDispatcher(exchanges),
          new ApiKeys(settings.operatorKeyDigests()));
    } catch (IOException | RuntimeException e) {
      loop.close();
      effects.close();
      throw new IOException(Messages.cannotServe(settings.callers(), e), e);
    }
  }

  private void onTick(long atMillis, long nanos, List<Input> inputs, List<Output> outputs) {
    metrics.onTick(nanos);
    if (trace != null) {
      trace.onTick(atMillis, inputs, outputs);
    }
  }

  private long lamportClock() {
    return router.clock();
  }

  private static @Nullable TraceWriter openTrace(Settings settings, TraceHeader header)
      throws IOException {
    Path directory = settings.traceDirectory();
    return directory == null ? null : TraceWriter.begin(directory, header);
  }
}
