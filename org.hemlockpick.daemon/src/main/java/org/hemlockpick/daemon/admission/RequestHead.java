package org.hemlockpick.daemon.admission;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.hemlockpick.cell.RequestLimits;
import org.hemlockpick.errors.ResultCode;

/** Decides from the head of a request whether its body is received. */
final class RequestHead {
  private static final int AFTER_SCHEME = 3;

  private final HttpRequest request;
  private final boolean isChunked;
  private final long declaredBytes;

  RequestHead(HttpRequest request) {
    this.request = request;
    this.isChunked = HttpUtil.isTransferEncodingChunked(request);
    this.declaredBytes = isChunked ? 0 : HttpUtil.getContentLength(request, 0L);
  }

  boolean hasBody() {
    return isChunked || declaredBytes > 0;
  }

  /** Returns the declared length of the body in bytes; 0 if it declares none. */
  long declaredBytes() {
    return declaredBytes;
  }

  BodyScanner newBodyScanner() {
    return isChunked ? new ChunkScanner() : BodyScanner.ofLength(declaredBytes);
  }

  /** Returns the largest size that the body can have, in bytes. */
  long maxBytes(RequestLimits limits) {
    return isChunked ? limits.maxBodyBytes() : declaredBytes;
  }

  /** Returns why the request is refused before its body is read; empty if it is not. */
  Optional<Refusal> refusal(CallerPolicy policy, RequestLimits limits) {
    if (!hasBody()) {
      return Optional.empty();
    }
    if (declaredBytes > limits.maxBodyBytes()) {
      return Optional.of(new Refusal(RefusalReason.BODY_TOO_LARGE, ResultCode.TOO_LARGE));
    }
    return policy
        .refusal(request.method().name(), host(), path(request.uri()))
        .map(code -> new Refusal(RefusalReason.PATH, code));
  }

  private String host() {
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    int colon = host.indexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  /** Returns the path of a request target, which may have a scheme and an authority before it. */
  private static String path(String target) {
    int end = target.length();
    for (int at = 0; at < target.length() && end == target.length(); at++) {
      if (target.charAt(at) == '?' || target.charAt(at) == '#') {
        end = at;
      }
    }
    if (target.startsWith("/")) {
      return target.substring(0, end);
    }
    int scheme = target.indexOf("://");
    int path = scheme < 0 ? -1 : target.indexOf('/', scheme + AFTER_SCHEME);
    return path < 0 || path > end ? "" : target.substring(path, end);
  }

  /**
   * A request that is refused.
   *
   * @param code result that the caller gets
   */
  record Refusal(RefusalReason reason, ResultCode code) {}
}
