package org.hemlockpick.world;

/** Lists promises of the platform that a fake can be made to break. */
enum SeededFault {
  /** Workers say of finished requests that they never saw them. */
  WORKER_DENIES_REQUESTS("ran again"),
  /** Workers leave the requests that run out of their reports. */
  WORKER_HIDES_RUNNING_REQUESTS("slots were taken"),
  /** The table service applies writes whatever the versions of the rows. */
  STORE_IGNORES_VERSIONS("ran again");

  /** Part of the breach that the oracle must see. */
  final String breach;

  SeededFault(String breach) {
    this.breach = breach;
  }
}
