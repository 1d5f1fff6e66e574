package org.hemlockpick.daemon;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hemlockpick.proto.Input;

/** Creates the effects of one entry instance. */
@FunctionalInterface
interface EffectsFactory {

  /**
   * Creates effects that are not started.
   *
   * @param settings settings of the process
   * @param inputs receives replies and messages; called on any thread, does not block
   * @param clock supplies the Lamport clock of the entry instance; may be called on any thread
   * @param metrics registry for the counters of the effects
   */
  Effects create(
      Settings settings, Consumer<Input> inputs, LongSupplier clock, DaemonMetrics metrics);
}
