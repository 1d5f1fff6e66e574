package org.hemlockpick.internal.batch;

/** Grants the units that running tasks of a customer occupy. */
public interface TaskQuota {

  /** Takes one unit; returns false when the customer has none left here. */
  boolean tryAcquire(String customer);

  /** Gives one unit back. */
  void release(String customer);
}
