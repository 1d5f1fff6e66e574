package org.hemlockpick.daemon;

/** Classes of decisions; each has its own limit of log lines per second. */
enum LineClass {
  /** Decisions about the cell as a whole, a few per second. */
  CELL("the state of the cell", 200),

  /** State of workers and failed calls to them; comes in bursts when many are lost at once. */
  WORKER("workers", 400),

  /** Decisions about single jobs and runs. */
  RUN("single jobs and runs", 600);

  private final String text;
  private final int maxLinesPerSecond;

  LineClass(String text, int maxLinesPerSecond) {
    this.text = text;
    this.maxLinesPerSecond = maxLinesPerSecond;
  }

  /** Returns the class of a kind of decision. */
  static LineClass of(String kind) {
    return switch (kind) {
      case "submit", "cancel", "state", "job", "start", "stop", "run", "end", "pace" -> RUN;
      case "worker", "call" -> WORKER;
      default -> CELL;
    };
  }

  String text() {
    return text;
  }

  int maxLinesPerSecond() {
    return maxLinesPerSecond;
  }
}
