package org.hemlockpick.standin;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.Map;

/**
 * Serves stand-ins over HTTP on one port, each under its own path prefix. Several servers can run
 * in one process.
 */
public final class StandInServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final MountTable mounts = new MountTable();
  private final ApplicationContext context;
  private final EmbeddedServer server;

  /**
   * Starts a server without stand-ins.
   *
   * @param host address to listen on
   * @param port port to listen on; 0 for any free port
   */
  public StandInServer(String host, int port) {
    context =
        ApplicationContext.builder()
            .deduceEnvironment(false)
            .banner(false)
            .properties(properties(host, port))
            .singletons(mounts)
            .start();
    server = context.getBean(EmbeddedServer.class);
    server.start();
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.getPort();
  }

  /** Returns the address of a prefix, in the form host:port/prefix. */
  public String address(String prefix) {
    return server.getHost() + ":" + server.getPort() + prefix;
  }

  /**
   * Adds a stand-in.
   *
   * @param prefix path prefix of the stand-in, like {@code /table}; empty for the root
   */
  public void mount(String prefix, StandIn standIn) {
    mounts.put(prefix, new FaultInjector(standIn));
  }

  /** Removes a stand-in. Later calls to it fail with status 404. */
  public void unmount(String prefix) {
    mounts.remove(prefix);
  }

  /**
   * Sets the faults of a stand-in, as a POST to its path /v1/faults does.
   *
   * @throws IllegalArgumentException if no stand-in is mounted under the prefix
   */
  public void setFaults(String prefix, Faults faults) {
    FaultInjector injector = mounts.get(prefix);
    if (injector == null) {
      throw new IllegalArgumentException("no stand-in under " + prefix);
    }
    injector.set(faults);
  }

  @Override
  public void close() {
    context.close();
  }

  private static Map<String, Object> properties(String host, int port) {
    return Map.of(
        StandInController.ENABLED,
        true,
        "micronaut.server.host",
        host,
        "micronaut.server.port",
        port == 0 ? -1 : port,
        "micronaut.server.max-request-size",
        MAX_BODY_BYTES,
        "micronaut.netty.event-loops.default.num-threads",
        2);
  }
}
