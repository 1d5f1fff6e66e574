package org.hemlockpick.daemon;

import java.util.List;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;

/** Is told of every tick after it has run and before its outputs are carried out. */
@FunctionalInterface
interface TickListener {

  /**
   * Takes note of a tick.
   *
   * @param atMillis time of the tick on the loop's clock
   * @param nanos time that the tick took, in nanoseconds
   * @param inputs inputs that the tick took
   * @param outputs outputs that it returned
   */
  void onTick(long atMillis, long nanos, List<Input> inputs, List<Output> outputs);
}
