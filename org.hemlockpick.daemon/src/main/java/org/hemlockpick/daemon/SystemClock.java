package org.hemlockpick.daemon;

import java.util.concurrent.TimeUnit;
import org.hemlockpick.cell.LoopClock;

/** Reads the clocks of the machine. */
public final class SystemClock implements LoopClock {
  @Override
  public long monotonicMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }
}
