package org.hemlockpick.cell;

/** Reason why a worker is not eligible for a task. */
enum IneligibleReason {
  /** The platform's list does not contain it. */
  UNLISTED("unlisted"),

  /** It did not answer its last call. */
  UNRESPONSIVE("silent"),

  /** It has not answered a call with this holder's fencing token. */
  TOKEN_NOT_ACKNOWLEDGED("token not acknowledged"),

  /** No stored roster shows a later holder that tasks may run there. */
  NOT_ON_ROSTER("not on the roster"),

  /** It reports runs of unknown tasks, whose reserved capacity is unknown. */
  UNKNOWN_RUNS("unknown runs"),

  DRAINING("draining"),

  /** The operator evacuates its availability zone. */
  EVACUATED("zone evacuated"),

  /** It refused a start a moment ago. */
  BACKING_OFF("backing off after a refusal"),

  /** Its clock is not known, so that no lease can be granted. */
  NO_CLOCK("clock not known"),

  /** It does not guard its capacity, which may have shrunk since it was read. */
  OLD_CAPACITY("room read too long ago"),

  OTHER_SERVICE("other service"),

  OTHER_LABEL("other label"),

  NO_CAPACITY("no room"),

  /** It is still slow after the evacuation of its zone, and runs as many tasks as it gets then. */
  RECOVERING("recovering after an evacuation"),

  /** It runs the maximum number of tasks of the step per worker. */
  PER_WORKER_LIMIT("at the most per worker"),

  /** Runs failed there, and it is given no tasks for a while. */
  PAUSED("paused"),

  /** Runs failed there, and it is being tested with another run. */
  SUSPECT("suspect"),

  /** A task that is suspect of crashing workers is or would be beside others there. */
  KEPT_APART("kept apart from a suspect task"),

  /** It is reserved for long-running tasks that have lost their runs. */
  RESERVED("reserved for others"),

  /** It belongs to the pool kept free of long-running tasks that have not run. */
  SHORT_TASKS_ONLY("kept for short tasks"),

  /** Its last run failed, and the task has one attempt left. */
  LAST_RUN_FAILED("last run there failed"),

  /** It has too little CPU that neither its fillers demand nor its other tasks use. */
  TOO_LITTLE_UNUSED_CPU("too little unused cpu"),

  /** The tail latency of a serving task there is near or over its target. */
  HIGH_TAIL_LATENCY("tail latency high"),

  /** The task is believed to harm a serving task there. */
  HARM_EXPECTED("harm expected");

  private final String text;

  IneligibleReason(String text) {
    this.text = text;
  }

  /** Returns a short description for the log. */
  String text() {
    return text;
  }
}
