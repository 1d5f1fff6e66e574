package org.hemlockpick.cell;

/**
 * Amounts of a worker's resources.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb megabytes of memory
 * @param gpus accelerators
 */
public record Amounts(long cpuMillis, long memoryMb, long gpus) {
  /** Nothing of anything. */
  public static final Amounts NONE = new Amounts(0, 0, 0);

  /** Returns the sum of two amounts. */
  public Amounts plus(Amounts other) {
    return new Amounts(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
  }

  /** Returns the difference of two amounts; its parts may be negative. */
  public Amounts minus(Amounts other) {
    return new Amounts(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
  }

  /** Tells whether every part is at most that of the other amounts. */
  public boolean fitsInto(Amounts other) {
    return cpuMillis <= other.cpuMillis && memoryMb <= other.memoryMb && gpus <= other.gpus;
  }
}
