package org.hemlockpick.standin;

import com.google.protobuf.ByteString;
import jakarta.json.JsonObject;
import org.jspecify.annotations.Nullable;

/**
 * How a simulated request behaves.
 *
 * @param runMillis time until the answer, in milliseconds
 * @param fails whether the request fails
 * @param label name of the request on the timeline; empty if it has none
 */
record RequestPlan(long runMillis, boolean fails, String label) {

  /**
   * Reads {@code sleepMillis}, {@code fail} and {@code label} from a body. Missing fields have
   * their defaults.
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
