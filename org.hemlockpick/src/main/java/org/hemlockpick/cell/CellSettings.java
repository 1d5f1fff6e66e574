package org.hemlockpick.cell;

import org.hemlockpick.cell.rows.RowLimits;

/**
 * Settings of an entry instance as a member of a cell. Times are in milliseconds.
 *
 * @param instance name of the entry instance
 * @param address where it listens for callers; two processes cannot listen there at once
 * @param incarnation distinguishes this process from earlier ones of the same name
 * @param cell name of the cell, and of the part of its rows
 * @param workerLeaseMillis duration of the lease under which runs execute on a worker
 * @param stopMillis maximum time that a worker takes to stop a run
 * @param statusKeepMillis minimum time for which the state of an ended job is kept
 * @param evacuationBoundMillis time after the confirmation of a request to evacuate an availability
 *     zone from which no task may be started there; 0 if evacuation is disabled
 * @param size capacity of its machine; a small instance delays its claims of the cell in favor of
 *     others
 * @param rowBytes largest value of a row of the table service, in bytes
 */
public record CellSettings(
    String instance,
    String address,
    String incarnation,
    String cell,
    long workerLeaseMillis,
    long stopMillis,
    long statusKeepMillis,
    long evacuationBoundMillis,
    InstanceSize size,
    int rowBytes) {

  /** Creates the settings of an entry instance on a platform with rows of the usual size. */
  public CellSettings(
      String instance,
      String address,
      String incarnation,
      String cell,
      long workerLeaseMillis,
      long stopMillis,
      long statusKeepMillis,
      long evacuationBoundMillis,
      InstanceSize size) {
    this(
        instance,
        address,
        incarnation,
        cell,
        workerLeaseMillis,
        stopMillis,
        statusKeepMillis,
        evacuationBoundMillis,
        size,
        RowLimits.DEFAULT_ROW_BYTES);
  }

  /** Creates the settings of an entry instance of ample size without evacuation. */
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
        0,
        InstanceSize.AMPLE);
  }

  /**
   * Returns whether a holder is this process or a predecessor, which has ended, as it listened at
   * the address at which this process listens now. A process of the same name at another address
   * may still be running.
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
