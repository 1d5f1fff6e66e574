package org.hemlockpick.daemon;

import com.google.common.hash.Hashing;
import io.micronaut.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import org.hemlockpick.errors.ResultCode;

/** Reads the API keys of callers and verifies those of operators. */
final class ApiKeys {
  static final String HEADER = "X-Hemlockpick-Key";

  private final List<String> operatorDigests;

  ApiKeys(List<String> operatorDigests) {
    this.operatorDigests = List.copyOf(operatorDigests);
  }

  /**
   * Returns the SHA-256 digest of the caller's key in lower-case hex.
   *
   * @throws BadInputException if the call carries no key
   */
  String digest(HttpRequest<?> request) {
    String key = request.getHeaders().get(HEADER);
    if (key == null || key.isEmpty()) {
      throw new BadInputException(ResultCode.NOT_AUTHENTICATED, Messages.KEY_MISSING);
    }
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  /**
   * Verifies that the call comes from an operator.
   *
   * @throws BadInputException if its key is missing or not an operator's
   */
  void checkOperator(HttpRequest<?> request) {
    byte[] digest = digest(request).getBytes(StandardCharsets.US_ASCII);
    boolean isKnown =
        operatorDigests.stream()
            .map(known -> known.getBytes(StandardCharsets.US_ASCII))
            .anyMatch(known -> MessageDigest.isEqual(known, digest));
    if (!isKnown) {
      throw new BadInputException(ResultCode.NOT_AUTHENTICATED, Messages.OPERATOR_KEY_WRONG);
    }
  }
}
