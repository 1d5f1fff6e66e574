package org.hemlockpick.cell;

/** Why a worker may not be given a task. */
enum IneligibleReason {
  /** The platform's list does not name it. */
  UNLISTED("unlisted"),

  /** Its last call had no answer. */
  UNRESPONSIVE("silent"),

  /** It has not answered to the fencing token of the holder. */
  TOKEN_NOT_ACKNOWLEDGED("not fenced"),

  /** No roster has been stored that a later holder would find it in. */
  NOT_ON_ROSTER("not on the roster"),

  /** It reports runs of unknown tasks, whose room is not known. */
  UNKNOWN_RUNS("unknown runs"),

  DRAINING("draining"),

  /** It refused a start a moment ago. */
  BACKING_OFF("closed after a refusal"),

  /** Its clock is not known, so that no lease can be named. */
  NO_CLOCK("clock not known"),

  OTHER_SERVICE("other service"),

  OTHER_LABEL("other label"),

  NO_CAPACITY("no room"),

  /** It runs as many tasks of the step as may be on one worker. */
  PER_WORKER_LIMIT("at the most per worker"),

  /** Runs failed there, and it gets no work for a while. */
  PAUSED("paused"),

  /** Runs failed there, and another run is its test. */
  SUSPECT("suspect"),

  /** It is kept for tasks that last and have lost their runs. */
  RESERVED("kept for others"),

  /** It is kept free of tasks that last and have not run. */
  SHORT_TASKS_ONLY("set apart");

  private final String text;

  IneligibleReason(String text) {
    this.text = text;
  }

  /** Returns a few words for the log. */
  String text() {
    return text;
  }
}
