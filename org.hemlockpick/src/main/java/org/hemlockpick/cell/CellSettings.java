package org.hemlockpick.cell;

/**
 * Settings of an entry instance's part in a cell. Times are in milliseconds.
 *
 * @param instance name of the entry instance
 * @param address where it listens for callers; two processes cannot listen there at once
 * @param incarnation distinguishes this process from earlier ones of the same name
 * @param cell name of the cell; also the part of its rows
 * @param workerLeaseMillis length of the lease of what runs on a worker
 * @param stopMillis longest time that a worker takes to stop a run
 * @param statusKeepMillis least time for which the state of an ended job is kept
 * @param size what its machine gives it; a small one leaves the cell to others for a while
 */
public record CellSettings(
    String instance,
    String address,
    String incarnation,
    String cell,
    long workerLeaseMillis,
    long stopMillis,
    long statusKeepMillis,
    InstanceSize size) {

  /** Makes settings of an entry instance of ample size. */
  public CellSettings(
      String instance,
      String address,
      String incarnation,
      String cell,
      long workerLeaseMillis,
      long stopMillis,
      long statusKeepMillis) {
    this(
        instance,
        address,
        incarnation,
        cell,
        workerLeaseMillis,
        stopMillis,
        statusKeepMillis,
        InstanceSize.AMPLE);
  }

  /**
   * Tells whether a holder is this process or one before it, which has ended: it listened at the
   * address at which this one listens now. A process of the same name at another address may live.
   */
  boolean isSameEndpoint(String holder) {
    return holder.startsWith(endpoint());
  }

  /** Returns the name under which this process holds the cell. */
  String holderName() {
    return endpoint() + incarnation;
  }

  private String endpoint() {
    return instance + "@" + address + "/";
  }
}
