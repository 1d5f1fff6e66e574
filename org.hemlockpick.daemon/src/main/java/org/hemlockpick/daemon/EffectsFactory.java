package org.hemlockpick.daemon;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hemlockpick.proto.Input;

/** Makes the ends to the outside of one entry instance. */
@FunctionalInterface
interface EffectsFactory {

  /**
   * Makes ends that are not started yet.
   *
   * @param settings settings of the process
   * @param inputs takes replies and messages; called on any thread, does not block
   * @param clock gives the Lamport clock of the entry instance; may be called on any thread
   * @param metrics shows the counters of the ends
   */
  Effects create(
      Settings settings, Consumer<Input> inputs, LongSupplier clock, DaemonMetrics metrics);
}
