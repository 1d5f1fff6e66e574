package org.hemlockpick.internal.batch;

import org.hemlockpick.contract.Contract;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.JobView;
import org.jspecify.annotations.Nullable;

/** Authenticates the callers of the batch API and sends their answers. */
final class Callers {
  private final Outbox outbox;
  private final ContractTable contracts;

  Callers(Outbox outbox, ContractTable contracts) {
    this.outbox = outbox;
    this.contracts = contracts;
  }

  /**
   * Returns the contract of a caller; if authentication fails, answers the call and returns null.
   */
  @Nullable Contract authenticate(long exchange, String customer, String keyDigest) {
    Contract contract = contracts.find(customer);
    if (contract != null && contract.accepts(keyDigest)) {
      return contract;
    }
    answer(exchange, ResultCode.NOT_AUTHENTICATED);
    return null;
  }

  void answer(long exchange, ResultCode code) {
    answer(exchange, code, code.text());
  }

  void answer(long exchange, ResultCode code, String detail) {
    outbox.answer(exchange, code, detail, 0);
  }

  void answer(long exchange, JobView view) {
    outbox.answer(
        CallerAnswer.newBuilder()
            .setExchange(exchange)
            .setCode(ResultCode.DONE.number())
            .setJob(view));
  }
}
