package org.hemlockpick.daemon;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.hemlockpick.daemon.admission.AdmissionSettings;
import org.hemlockpick.lib.InstanceSettings;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a process that serves as an entry instance.
 *
 * @param instance name, availability zone, roster and timing
 * @param callers address that callers and operators connect to
 * @param peers address that other entry instances connect to
 * @param peerAddresses address of every other entry instance by its name
 * @param platform addresses of the platform's services
 * @param operatorKeyDigests SHA-256 digests, in lower-case hex, of the operators' keys
 * @param traceDirectory directory for the recording of inputs; null to record none
 * @param timeline whether and where the timeline is written
 * @param limits limits on callers
 */
public record Settings(
    InstanceSettings instance,
    InetSocketAddress callers,
    InetSocketAddress peers,
    Map<String, InetSocketAddress> peerAddresses,
    Platform platform,
    List<String> operatorKeyDigests,
    @Nullable Path traceDirectory,
    Timeline timeline,
    AdmissionSettings limits) {

  /** Copies the collections. */
  public Settings {
    peerAddresses = Map.copyOf(peerAddresses);
    operatorKeyDigests = List.copyOf(operatorKeyDigests);
  }

  /**
   * Addresses of the platform's services.
   *
   * @param tableService base URL of the table service
   * @param objectStore base URL of the object store
   * @param instanceList base URL of the list of instances
   */
  public record Platform(URI tableService, URI objectStore, URI instanceList) {}

  /**
   * Settings of the timeline.
   *
   * @param level which events are written
   * @param file file for the events; null for the process log
   */
  public record Timeline(Level level, @Nullable Path file) {

    /** Selects the events that are written. */
    public enum Level {
      /** None. */
      OFF,
      /** All. */
      ALL
    }
  }
}
