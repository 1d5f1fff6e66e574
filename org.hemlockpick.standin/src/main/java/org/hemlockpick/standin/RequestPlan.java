package org.hemlockpick.standin;

import com.google.protobuf.ByteString;
import jakarta.json.JsonObject;
import org.jspecify.annotations.Nullable;

/**
 * What a request does.
 *
 * @param runMillis time until its answer, in milliseconds
 * @param fails whether it fails
 */
record RequestPlan(long runMillis, boolean fails) {

  /** Reads {@code sleepMillis} and {@code fail} from a body; what is missing is as usual. */
  static RequestPlan of(ByteString body, long usualMillis) {
    @Nullable JsonObject object = Payloads.object(body);
    if (object == null) {
      return new RequestPlan(usualMillis, false);
    }
    long runMillis = object.getInt("sleepMillis", (int) usualMillis);
    return new RequestPlan(runMillis, object.getBoolean("fail", false));
  }
}
