package org.hemlockpick.cell;

import java.util.Locale;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Finds out why a task does not run, without looking through the workers. */
final class WaitCauses {
  private final TakeoverTracker takeover;
  private final CellJournal journal;

  /** Returns the queue of a job; null if no configuration contains it. */
  private final Function<Job, @Nullable Queue> queues;

  WaitCauses(TakeoverTracker takeover, CellJournal journal, Function<Job, @Nullable Queue> queues) {
    this.takeover = takeover;
    this.journal = journal;
    this.queues = queues;
  }

  /** Returns whether a task is known to run at a worker that answers. */
  static boolean isRunning(Task task) {
    return isRunning(task.run()) || isRunning(task.copy());
  }

  private static boolean isRunning(@Nullable Run run) {
    return run != null && run.state() == Run.State.RUNNING && !run.worker().isUnresponsive();
  }

  /** Returns the queue of a task; null if no configuration contains it. */
  @Nullable Queue queue(Task task) {
    return queues.apply(task.job());
  }

  /**
   * Returns why a task that does not run may not be started at all; null if it waits for a worker.
   */
  @Nullable WaitReason reason(Task task, long now) {
    if (!task.hasNoRuns()) {
      return WaitReason.LAST_RUN;
    }
    if (queue(task) == null) {
      return WaitReason.NO_QUEUE;
    }
    if (!journal.allowsOrders(now)) {
      return WaitReason.NO_ORDERS;
    }
    if (takeover.blocksStart(task)) {
      return WaitReason.TAKEOVER;
    }
    if (!journal.isVisibleToSuccessor(task.job().rowVersion())) {
      return WaitReason.LEASE_NOT_RENEWED;
    }
    return task.isReady(now) ? null : WaitReason.PAUSE;
  }

  /** Returns what decides a reason, for the log. */
  String describe(Task task, WaitReason reason, long now) {
    return switch (reason) {
      case LAST_RUN -> describeLastRun(task, now);
      case NO_QUEUE -> task.job().submission().queue();
      case NO_ORDERS -> journal.millisSinceRenewal() + " ms since the last renewal";
      case TAKEOVER -> takeover.describeUnaccounted();
      case LEASE_NOT_RENEWED -> "row " + task.job().rowVersion();
      case PAUSE -> (task.notBefore() - now) + " ms left";
      case NO_WORKER, REFUSED, NOT_PLACED, NOT_EXAMINED -> "";
    };
  }

  private String describeLastRun(Task task, long now) {
    Run run = task.run() != null ? task.run() : task.orphan();
    if (run == null) {
      return "";
    }
    Worker worker = run.worker();
    IneligibleReason reason = worker.ineligibleReason(now);
    return String.format(
        Locale.ROOT,
        "attempt %d %s at %s, worker %s, its lease may last %d ms, cell held exclusively until %d"
            + " ms ago",
        run.attempt(),
        run.state(),
        worker.id(),
        reason == null ? "open" : reason.text(),
        worker.leases().remainingMillis(now),
        now - journal.exclusiveUntil(now));
  }
}
