package org.hemlockpick.daemon;

import java.util.List;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;

/** Called after every tick and before its outputs are performed. */
@FunctionalInterface
interface TickListener {

  /**
   * Called after a tick.
   *
   * @param atMillis time of the tick on the loop's clock
   * @param nanos duration of the tick, in nanoseconds
   * @param inputs inputs of the tick
   * @param outputs outputs of the tick
   */
  void onTick(long atMillis, long nanos, List<Input> inputs, List<Output> outputs);
}
