package org.hemlockpick.standin;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.proto.ListedInstance;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a worker on the instance list by heartbeats. Makes the worker refuse new work once the list
 * marks it as leaving.
 */
final class WorkerRegistration implements AutoCloseable {
  private static final Logger log = Logger.getLogger(WorkerRegistration.class);
  private static final long HEARTBEAT_MILLIS = 1_000;

  private final PlatformClient client;
  private final String address;
  private final ListedInstance instance;
  private final WorkerStandIn worker;
  private final Future<?> heartbeats;

  WorkerRegistration(
      PlatformClient client,
      String address,
      ListedInstance instance,
      WorkerStandIn worker,
      ScheduledExecutorService executor) {
    this.client = client;
    this.address = address;
    this.instance = instance;
    this.worker = worker;
    this.heartbeats =
        executor.scheduleWithFixedDelay(
            this::heartbeat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    heartbeats.cancel(false);
  }

  private void heartbeat() {
    var unused =
        client
            .post(address, "/v1/instances", MessageJson.print(instance))
            .whenComplete(this::onAnswer);
  }

  private void onAnswer(@Nullable String json, @Nullable Throwable thrown) {
    if (thrown != null || json == null) {
      log.debug(Messages.callFailed(address, String.valueOf(thrown)));
      return;
    }
    if (MessageJson.merge(json, ListedInstance.newBuilder()).getLeaving()) {
      worker.leave();
    }
  }
}
