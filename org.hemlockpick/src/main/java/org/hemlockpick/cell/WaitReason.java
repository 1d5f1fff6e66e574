package org.hemlockpick.cell;

/** Reason why a task does not run though the steps it depends on are done. */
enum WaitReason {
  /** It cannot be ruled out that its last run goes on. */
  LAST_RUN("last run may go on"),

  NO_QUEUE("queue not in the configuration"),

  NO_ORDERS("no orders allowed"),

  TAKEOVER("blocked by the take-over"),

  LEASE_NOT_RENEWED("lease not renewed since its job"),

  PAUSE("pause after a failure"),

  /** No worker is eligible for it. */
  NO_WORKER("no worker"),

  /** Workers are eligible for it, and the placement policy refuses all of them. */
  REFUSED("refused at all workers"),

  /** It may be placed on workers, but it was given none. */
  NOT_PLACED("not placed"),

  /** It waits for a worker, and the workers were looked through for other tasks only. */
  NOT_EXAMINED("not examined");

  private final String text;

  WaitReason(String text) {
    this.text = text;
  }

  /** Returns a short description for the log. */
  String text() {
    return text;
  }
}
