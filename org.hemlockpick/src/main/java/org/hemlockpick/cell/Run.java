package org.hemlockpick.cell;

import org.hemlockpick.cell.WorkerPort.RunName;

/** One attempt of a task at a worker. It takes up room there until its end is certain. */
final class Run {
  /** What is known of a run. */
  enum State {
    /** The order to start it is under way. */
    STARTING,
    /** It is on the worker. */
    RUNNING,
    /** It is to be stopped, or may never have started; it is being stopped to be certain. */
    STOPPING
  }

  private final Task task;
  private final RunName name;
  private final Worker worker;
  private final long startedAt;
  private State state;
  private boolean hasRun;
  private long knownSince = Long.MAX_VALUE;
  private long stopSentAt = Long.MIN_VALUE / 2;
  private int startsSent;
  private int percent;
  private long progressAt;
  private long gauge;
  private long gaugeBefore;
  private int pace = 100;

  Run(Task task, int attempt, Worker worker, State state, long nowMillis) {
    this.task = task;
    this.name = new RunName(task.id(), attempt);
    this.worker = worker;
    this.state = state;
    this.hasRun = state == State.RUNNING;
    this.startedAt = nowMillis;
    this.progressAt = nowMillis;
  }

  Task task() {
    return task;
  }

  Step step() {
    return task.step().step();
  }

  RunName name() {
    return name;
  }

  int attempt() {
    return name.attempt();
  }

  Worker worker() {
    return worker;
  }

  State state() {
    return state;
  }

  void setState(State newState) {
    state = newState;
    hasRun |= newState == State.RUNNING;
  }

  /** Tells whether it was ever known to be on the worker. */
  boolean hasRun() {
    return hasRun;
  }

  long startedAt() {
    return startedAt;
  }

  /** Counts an order to start it. */
  void countStart() {
    startsSent++;
  }

  int startsSent() {
    return startsSent;
  }

  /**
   * Returns the time since which the worker's reports are certain to tell of it: a report that was
   * asked for later and does not name it proves that it is gone.
   */
  long knownSince() {
    return knownSince;
  }

  void setKnownSince(long nowMillis) {
    knownSince = nowMillis;
  }

  long stopSentAt() {
    return stopSentAt;
  }

  void setStopSentAt(long nowMillis) {
    stopSentAt = nowMillis;
  }

  /** Takes a report of the worker. */
  void report(WorkerPort.RunReport report, long nowMillis) {
    if (report.percent() != percent) {
      percent = report.percent();
      progressAt = nowMillis;
    }
    gaugeBefore = gauge;
    gauge = report.gauge();
    if (task.run() == this) {
      task.setCheckpoint(attempt(), report.checkpoint());
    }
  }

  int percent() {
    return percent;
  }

  /** Returns the time at which its progress was last seen to change. */
  long progressAt() {
    return progressAt;
  }

  /** Returns tail latency in milliseconds of a serving task, else used thousandths of a core. */
  long gauge() {
    return gauge;
  }

  /** Returns the gauge of the report before; 0 if there was none. */
  long gaugeBefore() {
    return gaugeBefore;
  }

  int pace() {
    return pace;
  }

  void setPace(int newPercent) {
    pace = newPercent;
  }
}
