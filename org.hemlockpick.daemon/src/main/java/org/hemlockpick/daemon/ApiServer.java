package org.hemlockpick.daemon;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.graceful.GracefulShutdownCapable;
import io.micronaut.runtime.server.EmbeddedServer;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import org.jboss.logging.Logger;

/** HTTP server with the controllers whose required beans are given. */
public final class ApiServer implements AutoCloseable {
  /** Largest body of a request, in bytes. */
  static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  /** Largest head that the HTTP codec accepts; the limit in force is lower. */
  private static final int MAX_HEAD_BYTES = 1024 * 1024;

  private static final int EVENT_LOOP_THREADS = 2;
  private static final long SHUTDOWN_GRACE_MILLIS = 1_000;
  private static final Logger log = Logger.getLogger(ApiServer.class);

  private final ApplicationContext context;
  private final EmbeddedServer server;

  private ApiServer(ApplicationContext context, EmbeddedServer server) {
    this.context = context;
    this.server = server;
  }

  /**
   * Starts a server for callers and operators at one address.
   *
   * @param address address to listen on; port 0 selects a free port
   * @param beans objects that the controllers require
   */
  static ApiServer start(InetSocketAddress address, Object... beans) {
    return start(
        Map.of(
            "micronaut.server.host",
            address.getHostString(),
            "micronaut.server.port",
            address.getPort() == 0 ? -1 : address.getPort()),
        beans);
  }

  /**
   * Starts a server at several addresses.
   *
   * @param listeners addresses to listen on by listener name
   * @param beans objects that the controllers require
   */
  public static ApiServer listen(Map<String, InetSocketAddress> listeners, Object... beans) {
    Map<String, Object> properties = new HashMap<>();
    listeners.forEach(
        (name, address) -> {
          String prefix = "micronaut.server.netty.listeners." + name + ".";
          properties.put(prefix + "host", address.getHostString());
          properties.put(prefix + "port", address.getPort());
        });
    return start(properties, beans);
  }

  private static ApiServer start(Map<String, Object> addresses, Object... beans) {
    Map<String, Object> properties = new HashMap<>(addresses);
    properties.put("micronaut.server.max-request-size", MAX_BODY_BYTES);
    properties.put("micronaut.server.netty.max-header-size", MAX_HEAD_BYTES);
    properties.put("micronaut.server.netty.max-initial-line-length", MAX_HEAD_BYTES);
    properties.put("micronaut.server.netty.worker.event-loop-group", ConnectionLoops.NAME);
    properties.put("micronaut.netty.event-loops.default.num-threads", EVENT_LOOP_THREADS);
    ApplicationContext context =
        ApplicationContext.builder()
            .deduceEnvironment(false)
            .banner(false)
            .properties(properties)
            .singletons(beans)
            .start();
    EmbeddedServer server = context.getBean(EmbeddedServer.class);
    server.start();
    return new ApiServer(context, server);
  }

  int port() {
    return server.getPort();
  }

  /** Waits a limited time for the responses in flight, then closes. */
  @Override
  public void close() {
    if (server instanceof GracefulShutdownCapable graceful) {
      awaitShutdown(graceful);
    }
    server.stop();
    context.close();
  }

  private static void awaitShutdown(GracefulShutdownCapable graceful) {
    try {
      graceful.shutdownGracefully().toCompletableFuture().get(SHUTDOWN_GRACE_MILLIS, MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      log.debug(Messages.CONNECTIONS_STILL_OPEN, e);
    }
  }
}
