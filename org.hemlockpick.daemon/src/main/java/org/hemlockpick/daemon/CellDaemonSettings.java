package org.hemlockpick.daemon;

import java.net.InetSocketAddress;
import java.util.Map;
import org.hemlockpick.cell.InstanceSize;
import org.hemlockpick.daemon.admission.AdmissionSettings;

/**
 * Settings of an entry instance that runs on a platform.
 *
 * @param name name of the entry instance
 * @param zone availability zone
 * @param size processor and link capacity of its machine
 * @param callers address at which callers connect
 * @param readiness address at which the platform queries the readiness
 * @param metrics address at which metrics are served
 * @param tableService host and port of the table service
 * @param workerLeaseMillis longest lease that workers grant
 * @param stopMillis longest time that a worker takes to stop a run
 * @param statusKeepMillis minimum time for which the state of a finished job is kept
 * @param evacuationBoundMillis time after the confirmation of a request to evacuate an availability
 *     zone from which no task may be started there; 0 if evacuation is disabled
 * @param graceMillis time from the stop signal until the process is killed
 * @param rowBytes largest value of a row of the table service, in bytes
 * @param limits limits on callers
 */
public record CellDaemonSettings(
    String name,
    String zone,
    InstanceSize size,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    InetSocketAddress metrics,
    String tableService,
    long workerLeaseMillis,
    long stopMillis,
    long statusKeepMillis,
    long evacuationBoundMillis,
    long graceMillis,
    int rowBytes,
    AdmissionSettings limits) {

  /** Returns the address at which callers connect, as host and port. */
  public String callersText() {
    return callers.getHostString() + ":" + callers.getPort();
  }

  /** Returns the addresses to listen on by listener name. */
  public Map<String, InetSocketAddress> listeners() {
    return Map.of("callers", callers, "readiness", readiness, "metrics", metrics);
  }
}
