package org.hemlockpick.standin;

import com.google.protobuf.ByteString;
import jakarta.json.JsonObject;
import org.jspecify.annotations.Nullable;

/**
 * How a simulated task behaves.
 *
 * @param runMillis run time at full speed, in milliseconds
 * @param fails whether the task fails at the end
 */
record TaskPlan(long runMillis, boolean fails) {

  /**
   * Reads {@code runMillis} and {@code fail} from a payload. Missing fields have their defaults.
   */
  static TaskPlan of(ByteString payload, long defaultMillis) {
    @Nullable JsonObject object = Payloads.parseObject(payload);
    if (object == null) {
      return new TaskPlan(defaultMillis, false);
    }
    long runMillis = object.getInt("runMillis", (int) defaultMillis);
    return new TaskPlan(runMillis, object.getBoolean("fail", false));
  }
}
