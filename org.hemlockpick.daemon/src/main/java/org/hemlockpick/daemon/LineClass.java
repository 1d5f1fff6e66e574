package org.hemlockpick.daemon;

/** Decisions whose lines share one bound. */
enum LineClass {
  /** Decisions on the cell as a whole, a few a second. */
  CELL("the state of the cell", 200),

  /** What becomes of workers and of calls to them: bursts when many are lost at once. */
  WORKER("workers", 400),

  /** Decisions on single jobs and runs. */
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
