package org.hemlockpick.platform.soak;

/** Disturbs the processes and the platform for a time. */
interface Disturbances {
  /** Injects faults for a time in milliseconds. */
  void run(long millis) throws InterruptedException;
}
