package org.hemlockpick.platform.soak;

/**
 * One run of a task at a worker. Times are in milliseconds since the start of the soak run.
 *
 * @param stopsAt time at which a stop order takes effect; {@link Long#MAX_VALUE} without one
 */
record SimRun(
    String task,
    int attempt,
    long token,
    int cpuMillis,
    long startedAt,
    long endsAt,
    boolean fails,
    long stopsAt) {
  /** Returns a copy of the run with a stop order. */
  SimRun stopping(long at) {
    return new SimRun(task, attempt, token, cpuMillis, startedAt, endsAt, fails, at);
  }

  long nextAt() {
    return Math.min(endsAt, stopsAt);
  }

  String kind() {
    if (stopsAt < endsAt) {
      return "stopped";
    }
    return fails ? "failed" : "done";
  }

  int percent(long now) {
    return (int) (100 * (now - startedAt) / Math.max(1, endsAt - startedAt));
  }

  @Override
  public String toString() {
    return task + " attempt " + attempt + " token " + token + " started at " + startedAt + " ms";
  }
}
