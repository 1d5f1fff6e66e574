package org.hemlockpick.pgm;

import jakarta.json.JsonObject;
import java.io.IOException;

/** Reads the numbered results of answers. */
final class ApiResults {
  private static final int DONE = 0;

  private ApiResults() {}

  static boolean isDone(JsonObject answer) {
    return answer.getInt("code", -1) == DONE;
  }

  /** Returns the result and its detail as one line. */
  static String describe(JsonObject answer) {
    return Messages.refused(
        answer.getInt("code", -1), answer.getString("result", "?"), answer.getString("detail", ""));
  }

  /**
   * Returns the answer if the call was done.
   *
   * @throws IOException if it was refused
   */
  static JsonObject requireDone(JsonObject answer) throws IOException {
    if (isDone(answer)) {
      return answer;
    }
    throw new IOException(describe(answer));
  }
}
