package org.hemlockpick.pgm;

import jakarta.json.JsonObject;
import java.io.IOException;

/** Reads the result code in answers of the API. */
final class ApiResults {
  private static final int DONE = 0;

  private ApiResults() {}

  static boolean isDone(JsonObject answer) {
    return answer.getInt("code", -1) == DONE;
  }

  /** Formats the result, its code and its detail as one line. */
  static String describe(JsonObject answer) {
    return Messages.refused(
        answer.getInt("code", -1), answer.getString("result", "?"), answer.getString("detail", ""));
  }

  /**
   * Returns the answer if its result is done.
   *
   * @throws IOException if the answer has any other result
   */
  static JsonObject requireDone(JsonObject answer) throws IOException {
    if (isDone(answer)) {
      return answer;
    }
    throw new IOException(describe(answer));
  }
}
