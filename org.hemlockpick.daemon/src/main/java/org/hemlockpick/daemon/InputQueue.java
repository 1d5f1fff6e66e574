package org.hemlockpick.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hemlockpick.proto.Input;
import org.jspecify.annotations.Nullable;

/**
 * Queues the inputs for the loop's next tick.
 *
 * <p>Inputs from callers are bounded; inputs from the platform and from peers are always accepted.
 */
final class InputQueue {
  /** Maximum number of queued inputs of callers. */
  static final int MAX_CALLER_INPUTS = 4_096;

  private static final int MAX_INPUTS_PER_TICK = 1_024;

  private final BlockingQueue<Queued> queue = new LinkedBlockingQueue<>();
  private final AtomicInteger callerInputs = new AtomicInteger();

  /** Queues an input of a caller; returns false if too many are queued already. */
  boolean offer(Input input) {
    if (callerInputs.incrementAndGet() > MAX_CALLER_INPUTS) {
      callerInputs.decrementAndGet();
      return false;
    }
    queue.add(new Queued(input, true));
    return true;
  }

  /** Queues an input that must not be dropped. */
  void put(Input input) {
    queue.add(new Queued(input, false));
  }

  int length() {
    return queue.size();
  }

  /**
   * Removes and returns the queued inputs in the order of arrival.
   *
   * @param waitMillis maximum wait for a first input, in milliseconds
   * @return inputs; empty if none arrived or the thread was interrupted
   */
  List<Input> take(long waitMillis) {
    List<Queued> taken = new ArrayList<>();
    Queued first = poll(waitMillis);
    if (first != null) {
      taken.add(first);
      queue.drainTo(taken, MAX_INPUTS_PER_TICK - 1);
    }
    int fromCallers = (int) taken.stream().filter(Queued::fromCaller).count();
    callerInputs.addAndGet(-fromCallers);
    return taken.stream().map(Queued::input).toList();
  }

  private @Nullable Queued poll(long waitMillis) {
    try {
      return queue.poll(waitMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      return null;
    }
  }

  private record Queued(Input input, boolean fromCaller) {}
}
