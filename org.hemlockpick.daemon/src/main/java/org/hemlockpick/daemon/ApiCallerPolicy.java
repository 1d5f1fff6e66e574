package org.hemlockpick.daemon;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;
import org.hemlockpick.cell.RequestLimits;
import org.hemlockpick.daemon.admission.CallerPolicy;
import org.hemlockpick.errors.ResultCode;

/** Decides about the requests of the product's own interface by their heads. */
final class ApiCallerPolicy implements CallerPolicy {
  private static final RequestLimits LIMITS =
      RequestLimits.DEFAULT.withMaxBodyBytes(ApiServer.MAX_BODY_BYTES);

  private static final Pattern PATHS =
      Pattern.compile(
          "/v1/(customers/[^/]+/(services/[^/]+|jobs(/[^/]+)?)|(contracts|evacuations)/[^/]+|[a-z]+)");

  @Override
  public RequestLimits limits() {
    return LIMITS;
  }

  @Override
  public Optional<ResultCode> refusal(String method, String host, String path) {
    return PATHS.matcher(path).matches() ? Optional.empty() : Optional.of(ResultCode.BAD_REQUEST);
  }

  @Override
  public byte[] encode(ResultCode code) {
    return AnswerJson.head(code, detail(code)).build().toString().getBytes(StandardCharsets.UTF_8);
  }

  private static String detail(ResultCode code) {
    return code == ResultCode.TOO_LARGE ? Messages.BODY_TOO_LARGE : "";
  }
}
