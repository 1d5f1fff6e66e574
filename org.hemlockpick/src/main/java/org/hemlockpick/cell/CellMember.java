package org.hemlockpick.cell;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hemlockpick.cell.calls.SuspensionGuard;
import org.hemlockpick.errors.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * An entry instance as a member of its cell: answers callers, and schedules the jobs of the cell
 * while it holds the cell's lease. All methods are called on one thread, on which the ports answer
 * as well.
 */
public final class CellMember {
  /** Time without an answer of the table service after which this instance is not ready. */
  private static final long STORE_UNRESPONSIVE_MILLIS = 1_200;

  private static final long PUBLISH_INTERVAL_MILLIS = 1_000;

  private final CellSettings settings;
  private final MonitoredTableService store;
  private final SafeWorkerPort safeWorkers;
  private final WorkerPort workers;
  private final ConfigurationSource source;
  private final LoopClock clock;
  private final DecisionLog log;
  private final CellMetrics metrics;
  private final ConfigurationWatcher configuration;
  private final CellLease lease;
  private final JobCallHandler callHandler;
  private final SuspensionGuard suspension = new SuspensionGuard();
  private @Nullable CellHolder holder;
  private boolean stopping;
  private boolean storeAvailable = true;
  private long lastWallMillis;
  private long lastMonotonicMillis;
  private boolean ticked;
  private long nextPublishAt;

  /**
   * Creates an entry instance that does nothing until its first tick.
   *
   * @param settings settings
   * @param store the platform's table service
   * @param workers calls to workers
   * @param source parses the platform's rows
   * @param clock clocks of the loop
   * @param log log of the decisions
   * @param metrics receives counts and measurements
   * @param random source of randomness
   */
  public CellMember(
      CellSettings settings,
      TableService store,
      WorkerPort workers,
      ConfigurationSource source,
      LoopClock clock,
      DecisionLog log,
      CellMetrics metrics,
      RandomGenerator random) {
    this.settings = settings;
    this.store = new MonitoredTableService(store, clock, metrics);
    this.safeWorkers = new SafeWorkerPort(workers, clock, log);
    this.workers = new MonitoredWorkerPort(safeWorkers, clock, metrics);
    this.source = source;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.configuration = new ConfigurationWatcher(this.store, source, clock, this::decided, random);
    this.lease = new CellLease(settings, this.store, clock, random, log, this::onAcquired);
    this.callHandler =
        new JobCallHandler(
            settings, this.store, configuration::current, clock, this::decided, metrics);
    this.lastWallMillis = clock.wallMillis();
    this.lastMonotonicMillis = clock.monotonicMillis();
  }

  /** Runs everything that is due. */
  public void tick() {
    checkClocks();
    configuration.run();
    lease.run();
    safeWorkers.run();
    CellHolder current = holder;
    if (current != null) {
      current.run();
    }
    callHandler.run();
    publishGauges();
  }

  private void publishGauges() {
    long now = clock.monotonicMillis();
    if (now < nextPublishAt) {
      return;
    }
    nextPublishAt = now + PUBLISH_INTERVAL_MILLIS;
    Map<String, Long> gauges = new LinkedHashMap<>();
    CellHolder current = holder;
    gauges.put("cell.holder", current == null ? 0L : 1L);
    gauges.put("store.unanswered.millis", store.unresponsiveMillis());
    if (current != null) {
      current.addGauges(gauges, now);
    }
    metrics.publish(gauges);
  }

  /** Returns whether callers should be sent to this instance. */
  public boolean isReady() {
    boolean storeResponsive = store.unresponsiveMillis() < STORE_UNRESPONSIVE_MILLIS;
    return !stopping && configuration.current() != null && storeResponsive;
  }

  /** Returns whether this entry instance holds the cell. */
  public boolean isHolder() {
    return holder != null;
  }

  /** Returns the configuration in force; empty if none is known yet. */
  public Optional<Configuration> configuration() {
    return Optional.ofNullable(configuration.current());
  }

  /** Begins the planned stop: releases the cell, but still answers calls. */
  public void beginStop() {
    stopping = true;
    lease.stop();
    CellHolder current = holder;
    if (current != null) {
      current.release();
    }
  }

  /** Returns whether the planned stop has begun. */
  public boolean isStopping() {
    return stopping;
  }

  /** Returns whether the cell is not held and every call has been answered. */
  public boolean isIdle() {
    return holder == null && callHandler.openCalls() == 0;
  }

  /**
   * Submits a job, which is accepted under the terms of its queue in force; one with too many tasks
   * is refused, and so is one that may have been sent long ago.
   *
   * @param timeoutMillis time for which the caller waits
   * @param handler receives the answer, once
   */
  public void submit(Submission job, long timeoutMillis, Consumer<CallerReply> handler) {
    if (JobSize.isTooLarge(job)) {
      decided("submit", job.id(), ResultCode.TOO_LARGE.name(), JobSize.tasks(job) + " tasks");
      handler.accept(CallerReply.of(ResultCode.TOO_LARGE));
      return;
    }
    if (suspension.mayBeStale(clock.monotonicMillis(), clock.wallMillis())) {
      decided("submit", job.id(), ResultCode.NOT_READY.name(), "after a long suspension");
      handler.accept(CallerReply.retryLater(ResultCode.NOT_READY));
      return;
    }
    callHandler.submit(job, timeoutMillis, handler);
  }

  /**
   * Cancels a job. One that is not stored never runs, even if its submission is stored later.
   *
   * @param caller who cancels it; the number of jobs that a caller may cancel without their being
   *     stored is limited
   * @param timeoutMillis time for which the caller waits
   * @param handler receives the answer, once
   */
  public void cancel(
      JobAddress job, String caller, long timeoutMillis, Consumer<CallerReply> handler) {
    callHandler.cancel(job, caller, timeoutMillis, handler);
  }

  /**
   * Reads the state of a job.
   *
   * @param timeoutMillis time for which the caller waits
   * @param handler receives the answer, once
   */
  public void state(JobAddress job, long timeoutMillis, Consumer<CallerReply> handler) {
    callHandler.state(job, timeoutMillis, handler);
  }

  /** Returns the number of accepted jobs of a queue of which no task has started. */
  public CallerReply waitingJobs(String queue) {
    CellHolder current = holder;
    if (current != null) {
      return CallerReply.waiting(current.waitingJobs().getOrDefault(queue, 0));
    }
    if (!lease.hasBeenRead()) {
      return CallerReply.retryLater(ResultCode.NOT_READY);
    }
    return CallerReply.waiting(lease.waitingJobs().getOrDefault(queue, 0));
  }

  /**
   * Logs gaps between ticks, and requires a renewal of the lease when the two clocks diverge: the
   * monotonic clock may stop while the process is suspended, the wall clock does not.
   */
  private void checkClocks() {
    long wall = clock.wallMillis();
    long monotonic = clock.monotonicMillis();
    suspension.onTick(monotonic, wall);
    long gap = monotonic - lastMonotonicMillis;
    long divergence = (wall - lastWallMillis) - gap;
    if (ticked && gap > CellTiming.SUSPENSION_MILLIS) {
      metrics.count("clock.gaps");
      decided(
          "clock",
          settings.instance(),
          "gap",
          gap + " ms between two ticks" + describeLastRenewal());
    }
    ticked = true;
    lastWallMillis = wall;
    lastMonotonicMillis = monotonic;
    if (Math.abs(divergence) < CellTiming.SUSPENSION_MILLIS) {
      return;
    }
    decided("clock", settings.instance(), "jumped", divergence + " ms against the monotonic clock");
    CellHolder current = holder;
    if (current != null) {
      current.requireRenewal();
    }
  }

  private String describeLastRenewal() {
    CellHolder current = holder;
    return current == null
        ? ""
        : ", last renewal asked for " + current.millisSinceRenewal() + " ms ago";
  }

  /** Logs a decision, with the token of the holder if the cell is held. */
  private void decided(String kind, String subject, String outcome, String reason) {
    CellHolder current = holder;
    DecisionLog target = current == null ? log : current.log();
    target.decided(kind, subject, outcome, reason);
  }

  private void onAcquired(CellLease.Acquired acquired) {
    metrics.count("cell.takeovers");
    DecisionLog holderLog = log.withToken(acquired.version());
    holderLog.decided(
        "cell",
        settings.cell(),
        "held",
        "token " + acquired.version() + ", generation " + acquired.generation());
    holder =
        new CellHolder(
            settings,
            acquired,
            store,
            workers,
            source,
            configuration::current,
            clock,
            holderLog,
            metrics,
            new HolderListener());
  }

  private final class HolderListener implements CellHolder.Listener {
    @Override
    public void onEnded() {
      holder = null;
      lease.onLost();
    }

    @Override
    public void onStoreAvailability(boolean answers) {
      if (answers != storeAvailable) {
        storeAvailable = answers;
        decided("store", settings.cell(), answers ? "regained" : "lost", "transactions");
      }
    }
  }
}
