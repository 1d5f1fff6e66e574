package org.hemlockpick.cell;

/** Why a worker may not be given a task. */
enum Obstacle {
  /** The platform's list does not name it. */
  UNLISTED("unlisted"),

  /** Its last call had no answer. */
  SILENT("silent"),

  /** It has not answered to the fencing token of the holder. */
  NOT_FENCED("not fenced"),

  /** No roster has been stored that a later holder would find it in. */
  NOT_ON_ROSTER("not on the roster"),

  /** It reports runs of unknown tasks, whose room is not known. */
  UNKNOWN_RUNS("unknown runs"),

  DRAINING("draining"),

  /** It refused a start a moment ago. */
  CLOSED("closed after a refusal"),

  /** Its clock is not known, so that no lease can be named. */
  NO_CLOCK("clock not known"),

  OTHER_SERVICE("other service"),

  OTHER_LABEL("other label"),

  NO_ROOM("no room"),

  /** It runs as many tasks of the step as may be on one worker. */
  MOST_PER_WORKER("at the most per worker"),

  /** Runs failed there, and it gets no work for a while. */
  PAUSED("paused"),

  /** Runs failed there, and another run is its test. */
  SUSPECT("suspect"),

  /** It is kept free of tasks that last and have not run. */
  SET_APART("set apart");

  private final String text;

  Obstacle(String text) {
    this.text = text;
  }

  /** Returns a few words for the log. */
  String text() {
    return text;
  }
}
