package org.hemlockpick.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.server.netty.NettyHttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** Dispatches HTTP requests to stand-ins by their path prefix. */
@Controller
@Consumes(MediaType.ALL)
@Produces(MediaType.APPLICATION_JSON)
@Requires(property = StandInController.ENABLED)
class StandInController {
  /** Property that only the stand-ins' server sets, as other servers share its class path. */
  static final String ENABLED = "hemlockpick.standin.enabled";

  private static final String CLOCK_HEADER = "X-Hemlockpick-Clock";

  private final MountTable mounts;

  StandInController(MountTable mounts) {
    this.mounts = mounts;
  }

  @Get("/{+path}")
  CompletableFuture<HttpResponse<String>> get(HttpRequest<?> request) {
    return handle(request, "");
  }

  @Post("/{+path}")
  CompletableFuture<HttpResponse<String>> post(HttpRequest<?> request, HttpRequest<byte[]> whole) {
    return handle(request, whole.getBody().map(StandInController::text).orElse(""));
  }

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  private static HttpResponse<String> notFound(HttpRequest<?> request) {
    String text = Messages.noSuchPath(request.getMethodName(), request.getPath());
    return response(Reply.error(404, text));
  }

  private CompletableFuture<HttpResponse<String>> handle(HttpRequest<?> request, String body) {
    String path = request.getPath();
    String prefix = mounts.longestPrefix(path);
    FaultInjector injector = prefix == null ? null : mounts.get(prefix);
    if (prefix == null || injector == null) {
      return CompletableFuture.completedFuture(notFound(request));
    }
    Call call = new Call(request.getMethodName(), path.substring(prefix.length()), body);
    var channel = ((NettyHttpRequest<?>) request).getChannelHandlerContext().channel();
    return injector
        .handle(call, clock(request), channel)
        .thenApply(reply -> response(reply, injector.timeline().next()));
  }

  private static long clock(HttpRequest<?> request) {
    try {
      return Long.parseUnsignedLong(request.getHeaders().get(CLOCK_HEADER, String.class, "0"));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static HttpResponse<String> response(Reply reply, long clock) {
    return HttpResponse.<String>status(HttpStatus.valueOf(reply.status()))
        .header(CLOCK_HEADER, Long.toUnsignedString(clock))
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .body(reply.body());
  }

  private static HttpResponse<String> response(Reply reply) {
    return HttpResponse.<String>status(HttpStatus.valueOf(reply.status()))
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .body(reply.body());
  }
}
