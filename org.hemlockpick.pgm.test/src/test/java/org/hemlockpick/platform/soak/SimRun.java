package org.hemlockpick.platform.soak;

/** One run of a task at a worker. Times are those of the play, in milliseconds. */
final class SimRun {
  final String task;
  final int attempt;
  final long token;
  final int cpuMillis;
  final long startedAt;
  final long endsAt;
  final boolean fails;

  /** Time at which an order to stop takes effect. */
  long stopsAt = Long.MAX_VALUE;

  SimRun(
      String task,
      int attempt,
      long token,
      int cpuMillis,
      long startedAt,
      long endsAt,
      boolean fails) {
    this.task = task;
    this.attempt = attempt;
    this.token = token;
    this.cpuMillis = cpuMillis;
    this.startedAt = startedAt;
    this.endsAt = endsAt;
    this.fails = fails;
  }

  long nextAt() {
    return Math.min(endsAt, stopsAt);
  }

  String how() {
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
