package org.hemlockpick.transport.http;

import io.micronaut.buffer.netty.NettyByteBufferFactory;
import io.micronaut.core.convert.ConversionService;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.bind.DefaultRequestBinderRegistry;
import io.micronaut.http.bind.RequestBinderRegistry;
import io.micronaut.http.body.ContextlessMessageBodyHandlerRegistry;
import io.micronaut.http.body.MessageBodyHandlerRegistry;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.HttpClientConfiguration.ConnectionPoolConfiguration;
import io.micronaut.http.client.HttpVersionSelection;
import io.micronaut.http.client.StreamingHttpClient;
import io.micronaut.http.client.netty.DefaultHttpClient;
import io.micronaut.http.client.netty.NettyClientCustomizer;
import io.micronaut.http.codec.MediaTypeCodecRegistry;
import io.micronaut.http.ssl.SslConfiguration;
import io.micronaut.runtime.ApplicationConfiguration;
import io.micronaut.websocket.context.WebSocketBeanRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.resolver.DefaultAddressResolverGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hemlockpick.cell.DecisionLog;
import org.jboss.logging.Logger;

/** The resources that the HTTP clients share: one thread and the client settings. */
public final class HttpTransport implements AutoCloseable {
  /** Header with the sender's Lamport clock. */
  public static final String CLOCK_HEADER = "X-Hemlockpick-Clock";

  private static final Logger log = Logger.getLogger(HttpTransport.class);

  /** Longer than the timeout of most calls, so that the log reports the timeout of the call. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_250);

  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
  static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
  private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

  private final ThreadFactory threads = new DefaultThreadFactory("platform-http", true);
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, threads, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final MessageBodyHandlerRegistry bodies =
      new ContextlessMessageBodyHandlerRegistry(
          new ApplicationConfiguration(), NettyByteBufferFactory.DEFAULT);
  private final RequestBinderRegistry binders =
      new DefaultRequestBinderRegistry(ConversionService.SHARED);

  private final CallFailureLog failures;

  /** Creates a transport that logs failed calls to its own logger. */
  public HttpTransport() {
    this(HttpTransport::logFailure, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  /**
   * Creates the transport; its thread starts with the first call.
   *
   * @param log receives the outcome of failed calls
   * @param clock monotonic clock, in milliseconds
   */
  public HttpTransport(DecisionLog log, LongSupplier clock) {
    this.failures = new CallFailureLog(log, clock);
  }

  /** Closes all connections and stops the thread; calls in flight may get no result. */
  @Override
  public void close() {
    group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private static void logFailure(String kind, String subject, String outcome, String reason) {
    log.infof("%s %s %s: %s", kind, subject, outcome, reason);
  }

  CallFailureLog failures() {
    return failures;
  }

  EventLoop loop() {
    return loop;
  }

  /** Creates a client with its own pool of connections on the shared thread. */
  @SuppressWarnings("deprecation") // The builder does not accept an external event loop group.
  StreamingHttpClient newClient(int maxConnections) {
    return new DefaultHttpClient(
        null,
        null,
        settings(maxConnections),
        null,
        new NoFilters(),
        List.of(),
        threads,
        HttpTransport::refuseTls,
        MediaTypeCodecRegistry.of(),
        bodies,
        WebSocketBeanRegistry.EMPTY,
        binders,
        group,
        NioSocketChannel::new,
        NioDatagramChannel::new,
        new NettyClientCustomizer() {},
        null,
        ConversionService.SHARED,
        DefaultAddressResolverGroup.INSTANCE);
  }

  /** Returns the Lamport clock in the headers; 0 when there is none. */
  static long clock(HttpHeaders headers) {
    String text = headers.get(CLOCK_HEADER);
    if (text == null) {
      return 0;
    }
    try {
      return Long.parseUnsignedLong(text);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static HttpClientConfiguration settings(int maxConnections) {
    HttpClientConfiguration settings = new DefaultHttpClientConfiguration();
    settings.setFollowRedirects(false);
    settings.setExceptionOnErrorStatus(false);
    settings.getSslConfiguration().setEnabled(false);
    settings.setConnectTimeout(CONNECT_TIMEOUT);
    // Each call has its own timeout.
    settings.setReadTimeout(null);
    settings.setReadIdleTimeout(null);
    settings.setConnectionPoolIdleTimeout(IDLE_TIMEOUT);
    settings.setMaxContentLength(MAX_RESPONSE_BYTES);
    ConnectionPoolConfiguration pool = settings.getConnectionPoolConfiguration();
    pool.setMaxConcurrentHttp1Connections(maxConnections);
    pool.setMaxPendingConnections(maxConnections);
    return settings;
  }

  private static SslContext refuseTls(SslConfiguration settings, HttpVersionSelection version) {
    throw new UnsupportedOperationException("TLS is not set up");
  }
}
