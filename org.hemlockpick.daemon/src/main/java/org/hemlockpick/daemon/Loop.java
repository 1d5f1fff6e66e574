package org.hemlockpick.daemon;

import java.util.List;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;

/** Makes the decisions: turns inputs into outputs, one tick after the other on one thread. */
public interface Loop {

  /**
   * Runs one tick.
   *
   * @param inputs inputs since the last tick in the order of their arrival
   * @return outputs to perform, in order
   */
  List<Output> tick(List<Input> inputs);

  /** Returns whether callers are served. */
  boolean isReady();

  /** Returns whether the planned stop is complete. */
  boolean isStopped();
}
