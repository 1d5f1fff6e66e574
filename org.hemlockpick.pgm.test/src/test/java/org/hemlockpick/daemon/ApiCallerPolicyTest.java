package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.hemlockpick.errors.ResultCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which bodies the product's own interface refuses before they are read. */
class ApiCallerPolicyTest {
  private final ApiCallerPolicy policy = new ApiCallerPolicy();

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/v1/customers/lantern/services/litepay",
        "/v1/customers/lantern/jobs",
        "/v1/customers/lantern/jobs/7",
        "/v1/contracts/lantern",
        "/v1/stop"
      })
  void bodiesOfKnownPathsAreRead(String path) {
    assertTrue(policy.refusal("POST", "h", path).isEmpty());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "/", "/none/x", "/v1/customers/lantern", "/v1/contracts/a/b"})
  void bodiesOfOtherPathsAreRefused(String path) {
    assertEquals(Optional.of(ResultCode.BAD_REQUEST), policy.refusal("POST", "h", path));
  }
}
