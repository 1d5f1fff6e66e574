package org.hemlockpick.cell;

/** Kind of a task by how long it runs and what is reserved for it. */
enum TaskKind {
  /** It ends by itself, and what it takes is reserved for it. */
  SHORT("short task"),

  /** It takes only the processor time that others leave unused. */
  FILLER("filler"),

  /** It runs until its job is canceled. */
  LONG_RUNNING("task that lasts");

  private final String text;

  TaskKind(String text) {
    this.text = text;
  }

  /** Returns the kind of the tasks of a step. */
  static TaskKind of(Step step) {
    if (step.longRunning()) {
      return LONG_RUNNING;
    }
    return step.filler() ? FILLER : SHORT;
  }

  /** Returns a short description for the log. */
  String text() {
    return text;
  }
}
