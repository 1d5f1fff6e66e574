package org.hemlockpick.standin;

import com.google.protobuf.ByteString;
import jakarta.json.JsonObject;
import org.jspecify.annotations.Nullable;

/**
 * What a request does.
 *
 * @param runMillis time until its answer, in milliseconds
 * @param fails whether it fails
 * @param label name of the request on the time line; empty if it has none
 */
record RequestPlan(long runMillis, boolean fails, String label) {

  /**
   * Reads {@code sleepMillis}, {@code fail} and {@code label} from a body; what is missing is as
   * usual.
   */
  static RequestPlan of(ByteString body, long defaultMillis) {
    @Nullable JsonObject object = Payloads.parseObject(body);
    if (object == null) {
      return new RequestPlan(defaultMillis, false, "");
    }
    long runMillis = object.getInt("sleepMillis", (int) defaultMillis);
    return new RequestPlan(
        runMillis, object.getBoolean("fail", false), object.getString("label", ""));
  }
}
