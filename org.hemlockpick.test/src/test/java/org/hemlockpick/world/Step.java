package org.hemlockpick.world;

/**
 * Does one thing to the world and lets time pass.
 *
 * @param kind what is done
 * @param index chooses the process that it is done to
 * @param waitMillis virtual time that passes afterwards
 */
record Step(Kind kind, int index, int waitMillis) {

  /** Lists what can be done to the world. */
  enum Kind {
    KILL_ENTRY,
    RESTART_ENTRY,
    PAUSE_ENTRY,
    RESUME_ENTRY,
    STOP_ENTRY,
    KILL_WORKER,
    RESTART_WORKER,
    REPLACE_WORKER,
    WORKER_LEAVES,
    SILENCE_CONNECTIONS,
    WORKER_FAILS,
    WORKER_RECOVERS,
    STORE_DOWN,
    STORE_SLOW,
    STORE_LOSES_ANSWERS,
    STORE_RECOVERS,
    CUT_ZONE,
    CUT_FROM_PLATFORM,
    RECONNECT_ZONES,
    LOSE_PEER_MESSAGES,
    LOSE_WORKER_MESSAGES,
    NETWORK_RECOVERS,
    BURST,
    SUBMIT_JOB,
    CANCEL_JOBS,
    OPERATORS_RACE,
    WAIT
  }
}
