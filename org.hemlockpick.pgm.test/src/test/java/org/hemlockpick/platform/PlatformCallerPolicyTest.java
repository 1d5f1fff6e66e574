package org.hemlockpick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.hemlockpick.cell.RequestLimits;
import org.hemlockpick.errors.ResultCode;
import org.junit.jupiter.api.Test;

/** Tests which bodies are refused before they are read. */
class PlatformCallerPolicyTest {
  private static final String JOB = "0123456789abcdef";

  private final PlatformCallerPolicy policy = new PlatformCallerPolicy();

  private void configure() {
    String row =
        "{\"version\":1,\"limits\":{\"max_body_bytes\":9},\"routes\":[{\"name\":\"r\","
            + "\"host\":\"a.example\",\"path_prefix\":\"/x/\",\"service\":\"s\"}]}";
    policy.onConfiguration(new PlatformRowParser().configuration(ByteString.copyFromUtf8(row)));
  }

  /** Guards against a 404 for a queue that this instance has not learned of yet. */
  @Test
  void nothingIsRefusedBeforeTheFirstConfiguration() {
    assertEquals(Optional.empty(), policy.refusal("POST", "a.example", "/x/" + JOB));
    assertEquals(RequestLimits.DEFAULT, policy.limits());
  }

  @Test
  void bodyOfAnUnknownPathIsRefused() {
    configure();
    Optional<ResultCode> unknown = Optional.of(ResultCode.UNKNOWN_SERVICE);
    assertEquals(Optional.empty(), policy.refusal("POST", "a.example", "/x/" + JOB));
    assertEquals(unknown, policy.refusal("POST", "a.example", "/y/" + JOB));
    assertEquals(unknown, policy.refusal("POST", "b.example", "/x/" + JOB));
    assertEquals(9, policy.limits().maxBodyBytes());
  }

  /** Guards against a job that cannot be cancelled any more once its queue has been removed. */
  @Test
  void jobOfARemovedQueueCanBeReadAndCancelled() {
    configure();
    assertEquals(Optional.empty(), policy.refusal("DELETE", "a.example", "/y/" + JOB));
    assertEquals(Optional.empty(), policy.refusal("GET", "a.example", "/y/" + JOB));
  }
}
