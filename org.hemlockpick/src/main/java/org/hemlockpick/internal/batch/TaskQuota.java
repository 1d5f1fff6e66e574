package org.hemlockpick.internal.batch;

/** Grants the units that running tasks of a customer occupy. */
public interface TaskQuota {

  /** Acquires one unit; returns false when the customer has none left here. */
  boolean tryAcquire(String customer);

  /** Releases one unit. */
  void release(String customer);
}
