package org.hemlockpick.world;

/** Guarantees of the platform that a fake can be made to break. */
enum SeededFault {
  /** Workers report finished requests as never seen. */
  WORKER_DENIES_REQUESTS("ran again"),
  /** Workers omit running requests from their reports. */
  WORKER_HIDES_RUNNING_REQUESTS("slots were taken"),
  /** The table service applies writes without checking the versions of the rows. */
  STORE_IGNORES_VERSIONS("ran again");

  /** Part of the text of the breach that the oracle must report. */
  final String breach;

  SeededFault(String breach) {
    this.breach = breach;
  }
}
