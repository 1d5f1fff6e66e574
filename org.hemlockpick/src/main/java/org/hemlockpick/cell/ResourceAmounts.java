package org.hemlockpick.cell;

/**
 * Amounts of a worker's resources.
 *
 * @param cpuMillis millicores
 * @param memoryMb megabytes of memory
 * @param gpus accelerators
 */
public record ResourceAmounts(long cpuMillis, long memoryMb, long gpus) {
  /** Zero of every resource. */
  public static final ResourceAmounts NONE = new ResourceAmounts(0, 0, 0);

  /** Returns the sum of two amounts. */
  public ResourceAmounts plus(ResourceAmounts other) {
    return new ResourceAmounts(
        cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
  }

  /** Returns the difference of two amounts; its parts may be negative. */
  public ResourceAmounts minus(ResourceAmounts other) {
    return new ResourceAmounts(
        cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
  }

  /** Returns whether every part is at most that of the other amounts. */
  public boolean fitsInto(ResourceAmounts other) {
    return cpuMillis <= other.cpuMillis && memoryMb <= other.memoryMb && gpus <= other.gpus;
  }
}
