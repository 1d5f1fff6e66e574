package org.hemlockpick.internal.loop;

/** Names the tables of the table service. */
public final class TableNames {
  /** Accepted contract changes, by version. */
  public static final String CONFIG = "config";

  /** Idempotency keys, by customer and key. */
  public static final String KEYS = "keys";

  /** Jobs, by id. */
  public static final String JOBS = "jobs";

  /** Blocks of tasks that are not all finished, by availability zone, job and number. */
  public static final String SHARDS = "shards";

  /** Blocks of tasks that are all finished, by availability zone, job and number. */
  public static final String FINISHED_SHARDS = "finished-shards";

  /** Evacuations of availability zones, by zone. */
  public static final String EVACUATIONS = "evacuations";

  private TableNames() {}
}
