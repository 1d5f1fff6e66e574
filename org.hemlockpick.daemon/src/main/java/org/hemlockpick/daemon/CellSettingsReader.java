package org.hemlockpick.daemon;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.hemlockpick.cell.InstanceSize;
import org.hemlockpick.cell.rows.RowLimits;
import org.hemlockpick.daemon.admission.AdmissionSettings;
import org.hemlockpick.util.DepthLimitedToml;
import org.tomlj.TomlParseResult;

/** Reads the settings of an entry instance that runs on a platform. */
public final class CellSettingsReader {
  private static final String CELL_SECTION = "cell";
  private static final Duration MIN_DURATION = Duration.ofMillis(1);
  private static final Duration MAX_DURATION = Duration.ofHours(1);

  /** A start order may take 1 s, and the requests must be read before. */
  private static final Duration MIN_EVACUATION_BOUND = Duration.ofMillis(2_500);

  private static final double MAX_CORES = 1_024;
  private static final double MAX_LINK_MBITS = 1_000_000;

  private final FaultCollector faults;
  private final SettingsDocument document;

  private CellSettingsReader(String file, TomlParseResult toml) {
    this.faults = new FaultCollector(file);
    this.document = new SettingsDocument(faults, toml);
  }

  /** Returns whether a file holds settings of this kind; false if it cannot be read. */
  public static boolean isCellSettings(Path file) {
    try {
      return isCellSettings(DepthLimitedToml.parse(Files.readString(file)));
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns whether a document holds settings of this kind. */
  public static boolean isCellSettings(TomlParseResult toml) {
    return toml.contains(CELL_SECTION);
  }

  /**
   * Reads a settings file.
   *
   * @param file file to read
   * @return the settings, or all faults in the order of their lines
   */
  public static Either<List<SettingsFault>, CellDaemonSettings> read(Path file) {
    try {
      return read(file.toString(), Files.readString(file));
    } catch (IOException e) {
      return Either.left(
          List.of(new SettingsFault(file.toString(), 1, "", Messages.unreadable(e.toString()))));
    }
  }

  /**
   * Reads settings from text.
   *
   * @param file file name to show in faults
   * @param text settings in TOML
   * @return the settings, or all faults in the order of their lines
   */
  public static Either<List<SettingsFault>, CellDaemonSettings> read(String file, String text) {
    return new CellSettingsReader(file, DepthLimitedToml.parse(text)).read();
  }

  private Either<List<SettingsFault>, CellDaemonSettings> read() {
    if (document.hasSyntaxFaults()) {
      return Either.left(faults.sorted());
    }
    SettingsSection instance = document.get("instance");
    String name = instance.name("name");
    String zone = instance.name("zone");
    InstanceSize size = size(instance);
    instance.reportUnknownKeys();
    SettingsSection listen = document.get("listen");
    InetSocketAddress callers = listen.address("callers");
    InetSocketAddress readiness = listen.address("readiness");
    InetSocketAddress metrics = listen.address("metrics");
    listen.reportUnknownKeys();
    SettingsSection cell = document.get(CELL_SECTION);
    InetSocketAddress store = cell.address("table-service");
    Duration lease =
        cell.duration("worker-lease", Duration.ofSeconds(6), MIN_DURATION, MAX_DURATION);
    Duration stop = cell.duration("worker-stop", Duration.ofSeconds(1), MIN_DURATION, MAX_DURATION);
    Duration keep = cell.duration("status-keep", Duration.ofMinutes(2), MIN_DURATION, MAX_DURATION);
    Duration evacuation =
        cell.duration("evacuation-bound", Duration.ZERO, MIN_EVACUATION_BOUND, MAX_DURATION);
    Duration grace = cell.duration("stop-grace", Duration.ofSeconds(6), MIN_DURATION, MAX_DURATION);
    int rowBytes =
        cell.wholeNumber(
            "row-bytes",
            RowLimits.DEFAULT_ROW_BYTES,
            RowLimits.MIN_ROW_BYTES,
            RowLimits.MAX_ROW_BYTES);
    cell.reportUnknownKeys();
    AdmissionSettings limits = LimitsSection.read(document);
    document.reportUnknownSections();
    if (!faults.isEmpty()) {
      return Either.left(faults.sorted());
    }
    return Either.right(
        new CellDaemonSettings(
            Objects.requireNonNull(name),
            Objects.requireNonNull(zone),
            size,
            Objects.requireNonNull(callers),
            Objects.requireNonNull(readiness),
            Objects.requireNonNull(metrics),
            text(Objects.requireNonNull(store)),
            lease.toMillis(),
            stop.toMillis(),
            keep.toMillis(),
            evacuation.toMillis(),
            grace.toMillis(),
            rowBytes,
            limits));
  }

  private static InstanceSize size(SettingsSection instance) {
    double share = instance.amount("processor-share", 1, MAX_CORES);
    double speed = instance.amount("processor-speed", 1, MAX_CORES);
    double link = instance.amount("link-mbits", InstanceSize.AMPLE.linkMbits(), MAX_LINK_MBITS);
    return new InstanceSize(share * speed, link);
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
