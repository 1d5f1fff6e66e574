package org.hemlockpick.world;

/**
 * One action on the world and the virtual time that passes after it.
 *
 * @param kind action
 * @param index selects the process that the action applies to
 * @param waitMillis virtual time that passes afterwards
 */
record Step(Kind kind, int index, int waitMillis) {

  /** Actions on the world. */
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
    EVACUATE_ZONE,
    END_EVACUATION,
    WAIT
  }
}
