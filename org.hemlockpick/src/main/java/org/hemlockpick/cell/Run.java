package org.hemlockpick.cell;

import org.hemlockpick.cell.WorkerPort.RunId;

/**
 * One attempt of a task at a worker. It reserves capacity there until it is proven to have ended.
 */
final class Run {
  /** What is known of a run. */
  enum State {
    /** The start order is in flight. */
    STARTING,
    /** It is on the worker. */
    RUNNING,
    /** It is to be stopped, or may never have started and is stopped to be certain. */
    STOPPING
  }

  private final Task task;
  private final RunId id;
  private final Worker worker;
  private final long startedAt;
  private State state;
  private boolean observedRunning;
  private long reportableSince = Long.MAX_VALUE;
  private long runningSince = Long.MAX_VALUE;
  private long stopSentAt = Long.MIN_VALUE / 2;
  private int startOrdersSent;

  /** Highest fencing token of the orders to start it; 0 if this holder has sent none. */
  private long orderToken;

  private int progressPercent;
  private long lastProgressAt;
  private long reportedAt;
  private long gauge;
  private long previousGauge;
  private int pace = 100;

  Run(Task task, int attempt, Worker worker, State state, long nowMillis) {
    this.task = task;
    this.id = new RunId(task.id(), attempt);
    this.worker = worker;
    this.state = state;
    this.observedRunning = state == State.RUNNING;
    this.startedAt = nowMillis;
    this.lastProgressAt = nowMillis;
    this.reportedAt = nowMillis;
  }

  Task task() {
    return task;
  }

  Step step() {
    return task.step().step();
  }

  RunId id() {
    return id;
  }

  int attempt() {
    return id.attempt();
  }

  Worker worker() {
    return worker;
  }

  State state() {
    return state;
  }

  void setState(State newState) {
    state = newState;
    observedRunning |= newState == State.RUNNING;
  }

  /** Returns whether it was ever known to be on the worker. */
  boolean wasObservedRunning() {
    return observedRunning;
  }

  long startedAt() {
    return startedAt;
  }

  /** Counts an order to start it that carries a fencing token. */
  void countStartOrder(long token) {
    startOrdersSent++;
    orderToken = Math.max(orderToken, token);
  }

  int startOrdersSent() {
    return startOrdersSent;
  }

  /**
   * Returns the time since which the worker's reports name it for certain: a report that was
   * requested later and does not name it proves that it is gone.
   */
  long reportableSince() {
    return reportableSince;
  }

  void setReportableSince(long nowMillis) {
    if (observedRunning) {
      runningSince = Math.min(runningSince, nowMillis);
    }
    reportableSince = nowMillis;
  }

  /** Returns the time at which it was first known to run; the maximum value if it never was. */
  long runningSince() {
    return runningSince;
  }

  /**
   * Returns whether a report that does not name it proves that it is gone and cannot begin later.
   *
   * @param sentAt time on the monotonic clock at which the report was requested
   * @param token fencing token of that request, with which the worker refuses orders that carry a
   *     lower one
   */
  boolean isProvenGone(long sentAt, long token) {
    return sentAt > reportableSince || (orderToken > 0 && token > orderToken);
  }

  /** Returns whether a report that is requested now with a fencing token can prove it gone. */
  boolean canBeProvenGone(long token) {
    return reportableSince != Long.MAX_VALUE || (orderToken > 0 && token > orderToken);
  }

  long stopSentAt() {
    return stopSentAt;
  }

  void setStopSentAt(long nowMillis) {
    stopSentAt = nowMillis;
  }

  /** Updates the run from a report of the worker. */
  void update(WorkerPort.RunReport report, long nowMillis) {
    if (report.percent() != progressPercent) {
      progressPercent = report.percent();
      lastProgressAt = nowMillis;
    }
    reportedAt = nowMillis;
    previousGauge = gauge;
    gauge = report.gauge();
    worker.onReported(this);
    if (task.isAhead(this)) {
      task.setCheckpoint(attempt(), report.checkpoint());
    }
  }

  int progressPercent() {
    return progressPercent;
  }

  /** Returns the time at which its progress was last seen to change. */
  long lastProgressAt() {
    return lastProgressAt;
  }

  /** Returns the time at which it was last reported; that of its start if it was not yet. */
  long reportedAt() {
    return reportedAt;
  }

  /**
   * Returns the tail latency in milliseconds of a serving task, or else the CPU usage in
   * millicores.
   */
  long gauge() {
    return gauge;
  }

  /** Returns the gauge of the previous report; 0 if there was none. */
  long previousGauge() {
    return previousGauge;
  }

  int pace() {
    return pace;
  }

  void setPace(int newPercent) {
    pace = newPercent;
  }
}
