package org.hemlockpick.internal.batch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Predicate;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.standin.TableModel;

/** Executes store calls at once; a test selects calls that are lost or delayed. */
final class FakeStore {
  final TableModel table = new TableModel();

  /** Calls that are neither executed nor answered. */
  Predicate<StoreCall> lostCalls = call -> false;

  /** Calls that are executed but not answered. */
  Predicate<StoreCall> lostReplies = call -> false;

  /** Calls that are not answered and executed only by {@link #applyLate}. */
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

  /** Executes the delayed calls. */
  void applyLate() {
    late.forEach(table::handle);
    late.clear();
  }
}
