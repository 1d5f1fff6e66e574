package org.hemlockpick.cell;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.Transaction.Condition;
import org.hemlockpick.cell.Transaction.Write;

/**
 * Hides jobs from earlier versions whose progress these cannot read: they would start tasks again
 * that are done. The row of the submission gets another format, which they pass over; a holder of
 * an earlier version leaves such a job to the next holder that can read it.
 */
final class SubmissionHider {
  private final CellSettings settings;
  private final TableService store;
  private final DecisionLog log;

  /** Is told of jobs that are hidden from now on, or that may be if it is tried again. */
  private final Consumer<Job> onAnswer;

  private final Set<Job> inFlight = new HashSet<>();

  SubmissionHider(
      CellSettings settings, TableService store, DecisionLog log, Consumer<Job> onAnswer) {
    this.settings = settings;
    this.store = store;
    this.log = log;
    this.onAnswer = onAnswer;
  }

  /** Hides a job, unless that is under way. */
  void hide(Job job) {
    if (!inFlight.add(job)) {
      return;
    }
    var row = JobRows.submission(job.id());
    Transaction transaction =
        new Transaction(
            JobRows.part(settings.cell(), job.id()),
            List.of(new Condition(row, job.rowVersion())),
            List.of(new Write(row, JobRows.encodeHidden(job.submission()))),
            List.of());
    store.transact(transaction, CellTiming.STORE_TIMEOUT_MILLIS, result -> onResult(job, result));
  }

  private void onResult(Job job, TransactionResult result) {
    inFlight.remove(job);
    // After a conflict it may have been hidden by an earlier call that was not answered.
    boolean isHidden =
        result.outcome() == Outcome.COMMITTED
            || result.current().stream().anyMatch(row -> JobRows.isHidden(row.value()));
    if (isHidden) {
      job.rows().setHidden();
    }
    log.decided("job", job.id(), isHidden ? "hidden" : "not hidden", result.outcome().name());
    if (isHidden || result.outcome() != Outcome.REFUSED) {
      onAnswer.accept(job);
    }
  }
}
