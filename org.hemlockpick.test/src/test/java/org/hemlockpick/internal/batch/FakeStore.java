package org.hemlockpick.internal.batch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Predicate;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.standin.TableModel;

/** Carries out store calls at once and loses those that a test names. */
final class FakeStore {
  final TableModel table = new TableModel();

  /** Calls that are neither carried out nor answered. */
  Predicate<StoreCall> lostCalls = call -> false;

  /** Calls that are carried out and not answered. */
  Predicate<StoreCall> lostReplies = call -> false;

  /** Calls that are not answered and carried out only by {@link #applyLate}. */
  Predicate<StoreCall> lateCalls = call -> false;

  private final Deque<StoreCall> late = new ArrayDeque<>();

  Optional<StoreReply> handle(StoreCall call) {
    if (lostCalls.test(call)) {
      return Optional.empty();
    }
    if (lateCalls.test(call)) {
      late.add(call);
      return Optional.empty();
    }
    StoreReply reply = table.handle(call);
    return lostReplies.test(call) ? Optional.empty() : Optional.of(reply);
  }

  /** Carries out the delayed calls. */
  void applyLate() {
    late.forEach(table::handle);
    late.clear();
  }
}
