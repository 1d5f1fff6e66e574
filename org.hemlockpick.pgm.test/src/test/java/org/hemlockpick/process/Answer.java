package org.hemlockpick.process;

import jakarta.json.JsonObject;
import org.hemlockpick.errors.ResultCode;

/**
 * A whole answer of an entry instance.
 *
 * @param code its result
 * @param json all of it
 */
record Answer(ResultCode code, JsonObject json) {
  boolean isDone() {
    return code == ResultCode.DONE;
  }

  boolean isNotRun() {
    return code.effect() == ResultCode.Effect.NOT_RUN;
  }
}
