package org.hemlockpick.cell;

/**
 * Capacity that its machine gives an entry instance.
 *
 * @param cores processor capacity in cores of usual speed
 * @param linkMbits bandwidth of its own link in Mbit/s
 */
public record InstanceSize(double cores, double linkMbits) {
  /** A size with which a process can hold a cell of the design size. */
  public static final InstanceSize AMPLE = new InstanceSize(1, 100);

  /** Returns the share of a holder's needs that this size meets, from 0 to 1. */
  double fitness() {
    return Math.min(1, Math.min(cores / AMPLE.cores, linkMbits / AMPLE.linkMbits));
  }
}
