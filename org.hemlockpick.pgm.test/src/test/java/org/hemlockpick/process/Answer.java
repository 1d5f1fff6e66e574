package org.hemlockpick.process;

import jakarta.json.JsonObject;
import org.hemlockpick.errors.ResultCode;

/**
 * A complete response of an entry instance.
 *
 * @param code result code
 * @param json whole response body
 */
record Answer(ResultCode code, JsonObject json) {
  boolean isDone() {
    return code == ResultCode.DONE;
  }

  boolean isNotRun() {
    return code.effect() == ResultCode.Effect.NOT_RUN;
  }
}
