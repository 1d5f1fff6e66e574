package org.hemlockpick.daemon;

import java.util.List;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;

/** Decides: turns inputs into outputs, one tick after the other on one thread. */
public interface Loop {

  /**
   * Takes inputs and runs one tick.
   *
   * @param inputs inputs since the last tick in the order of their arrival
   * @return outputs to carry out, in order
   */
  List<Output> tick(List<Input> inputs);

  /** Tells whether callers are served. */
  boolean isReady();

  /** Tells whether the planned stop is complete. */
  boolean isStopped();
}
