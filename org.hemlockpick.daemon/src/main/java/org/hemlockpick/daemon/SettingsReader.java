package org.hemlockpick.daemon;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.hemlockpick.daemon.admission.AdmissionSettings;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.util.DepthLimitedToml;
import org.jspecify.annotations.Nullable;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads and validates settings from a TOML file. */
public final class SettingsReader {
  private static final Duration MIN_INTERVAL = Duration.ofMillis(10);
  private static final Duration MAX_INTERVAL = Duration.ofMinutes(5);
  private static final double MAX_CLOCK_DRIFT = 0.5;

  private final FaultCollector faults;
  private final TomlParseResult toml;
  private final SettingsDocument document;

  private SettingsReader(String file, TomlParseResult toml) {
    this.faults = new FaultCollector(file);
    this.toml = toml;
    this.document = new SettingsDocument(faults, toml);
  }

  /**
   * Reads a settings file.
   *
   * @param file file to read
   * @return the settings, or all faults in the order of their lines
   */
  public static Either<List<SettingsFault>, Settings> read(Path file) {
    try {
      return new SettingsReader(file.toString(), DepthLimitedToml.parse(Files.readString(file)))
          .read();
    } catch (IOException e) {
      return Either.left(
          List.of(new SettingsFault(file.toString(), 1, "", Messages.unreadable(reason(e)))));
    }
  }

  /**
   * Reads settings from text.
   *
   * @param file file name to show in faults
   * @param text settings in TOML
   * @return the settings, or all faults in the order of their lines
   */
  public static Either<List<SettingsFault>, Settings> read(String file, String text) {
    return new SettingsReader(file, DepthLimitedToml.parse(text)).read();
  }

  private static String reason(IOException e) {
    return e.getClass().getSimpleName() + " " + e.getMessage();
  }

  private Either<List<SettingsFault>, Settings> read() {
    if (document.hasSyntaxFaults()) {
      return Either.left(faults.sorted());
    }
    Settings settings = readSections();
    document.reportUnknownSections();
    return settings == null || !faults.isEmpty()
        ? Either.left(faults.sorted())
        : Either.right(settings);
  }

  private @Nullable Settings readSections() {
    SettingsSection instance = section("instance");
    String name = instance.name("name");
    String zone = instance.name("zone");
    instance.reportUnknownKeys();
    SettingsSection listen = section("listen");
    InetSocketAddress callers = listen.address("callers");
    InetSocketAddress peers = listen.address("peers");
    checkListen(listen, callers, peers);
    listen.reportUnknownKeys();
    Settings.@Nullable Platform platform = readPlatform();
    SettingsSection operators = section("operators");
    List<String> digests = operators.digests("key-sha256");
    operators.reportUnknownKeys();
    SettingsSection trace = section("trace");
    Path traceDirectory = trace.path("directory");
    trace.reportUnknownKeys();
    Settings.Timeline timeline = readTimeline();
    AdmissionSettings limits = LimitsSection.read(document);
    Timing timing = readTiming();
    Map<RosterMember, InetSocketAddress> roster = readRoster();
    checkOwnRosterMember(instance, listen, name, zone, peers, roster);
    if (!faults.isEmpty() || name == null || zone == null) {
      return null;
    }
    InstanceSettings own = new InstanceSettings(name, zone, List.copyOf(roster.keySet()), timing);
    return new Settings(
        own,
        Objects.requireNonNull(callers),
        Objects.requireNonNull(peers),
        addressesOfOthers(name, roster),
        Objects.requireNonNull(platform),
        digests,
        traceDirectory,
        timeline,
        limits);
  }

  private SettingsSection section(String name) {
    return document.get(name);
  }

  private Settings.@Nullable Platform readPlatform() {
    SettingsSection platform = section("platform");
    var tableService = platform.httpUrl("table-service");
    var objectStore = platform.httpUrl("object-store");
    var instanceList = platform.httpUrl("instance-list");
    platform.reportUnknownKeys();
    if (tableService == null || objectStore == null || instanceList == null) {
      return null;
    }
    return new Settings.Platform(tableService, objectStore, instanceList);
  }

  private Settings.Timeline readTimeline() {
    SettingsSection timeline = section("timeline");
    Settings.Timeline.Level level =
        timeline.choice("level", Settings.Timeline.Level.class, Settings.Timeline.Level.ALL);
    Path file = timeline.path("file");
    timeline.reportUnknownKeys();
    return new Settings.Timeline(level, file);
  }

  private Timing readTiming() {
    SettingsSection section = section("timing");
    Timing defaults = Timing.defaults();
    Timing timing =
        new Timing(
            interval(section, "heartbeat", defaults.heartbeat()),
            interval(section, "peer-timeout", defaults.peerTimeout()),
            interval(section, "lease-ttl", defaults.leaseTtl()),
            interval(section, "lease-renewal", defaults.leaseRenewal()),
            interval(section, "worker-timeout", defaults.workerTimeout()),
            interval(section, "store-timeout", defaults.storeTimeout()),
            interval(section, "config-poll", defaults.configPoll()),
            interval(section, "journal-interval", defaults.journalInterval()),
            interval(section, "start-wait", defaults.startWait()),
            section.fraction("max-clock-drift", defaults.maxClockDrift(), MAX_CLOCK_DRIFT));
    if (section.hasNoFaults()) {
      checkTiming(section, timing);
    }
    section.reportUnknownKeys();
    return timing;
  }

  private static void checkTiming(SettingsSection section, Timing timing) {
    if (!isMoreThanTwice(timing.leaseTtl(), timing.leaseRenewal())) {
      section.reportFault("lease-ttl", Messages.LEASE_TOO_SHORT);
    }
    if (!isMoreThanTwice(timing.peerTimeout(), timing.heartbeat())) {
      section.reportFault("peer-timeout", Messages.PEER_TIMEOUT_TOO_SHORT);
    }
  }

  private static Duration interval(SettingsSection section, String key, Duration defaultValue) {
    return section.duration(key, defaultValue, MIN_INTERVAL, MAX_INTERVAL);
  }

  private static boolean isMoreThanTwice(Duration longer, Duration shorter) {
    return longer.compareTo(shorter.multipliedBy(2)) > 0;
  }

  private Map<RosterMember, InetSocketAddress> readRoster() {
    document.markKnown("roster");
    Map<RosterMember, InetSocketAddress> roster = new LinkedHashMap<>();
    Object value = toml.get(List.of("roster"));
    if (value == null) {
      faults.add(1, "roster", Messages.MISSING);
      return roster;
    }
    if (!(value instanceof TomlArray array) || !holdsTables(array)) {
      TomlPosition position = toml.inputPositionOf(List.of("roster"));
      faults.add(position == null ? 1 : position.line(), "roster", Messages.NOT_A_ROSTER);
      return roster;
    }
    Set<String> names = new HashSet<>();
    Set<InetSocketAddress> addresses = new HashSet<>();
    for (int i = 0; i < array.size(); i++) {
      SettingsSection section =
          new SettingsSection(faults, "roster", array.getTable(i), array.inputPositionOf(i).line());
      readRosterMember(section, roster, names, addresses);
    }
    return roster;
  }

  private static boolean holdsTables(TomlArray array) {
    return array.toList().stream().allMatch(TomlTable.class::isInstance);
  }

  private static void readRosterMember(
      SettingsSection section,
      Map<RosterMember, InetSocketAddress> roster,
      Set<String> names,
      Set<InetSocketAddress> addresses) {
    String name = section.name("name");
    String zone = section.name("zone");
    InetSocketAddress peers = section.address("peers");
    section.reportUnknownKeys();
    if (name != null && !names.add(name)) {
      section.reportFault("name", Messages.duplicateName(name));
    }
    if (peers != null && !addresses.add(peers)) {
      section.reportFault("peers", Messages.duplicateAddress(show(peers)));
    }
    if (name != null && zone != null && peers != null) {
      roster.put(new RosterMember(name, zone), peers);
    }
  }

  private static void checkListen(
      SettingsSection listen,
      @Nullable InetSocketAddress callers,
      @Nullable InetSocketAddress peers) {
    boolean isSet = callers != null && peers != null && callers.getPort() != 0;
    if (isSet && Objects.requireNonNull(callers).equals(peers)) {
      listen.reportFault("peers", Messages.SAME_ADDRESS);
    }
  }

  private static void checkOwnRosterMember(
      SettingsSection instance,
      SettingsSection listen,
      @Nullable String name,
      @Nullable String zone,
      @Nullable InetSocketAddress peers,
      Map<RosterMember, InetSocketAddress> roster) {
    if (name == null || zone == null || roster.isEmpty()) {
      return;
    }
    InetSocketAddress ownAddress = roster.get(new RosterMember(name, zone));
    if (ownAddress == null) {
      instance.reportFault("name", Messages.notOnRoster(name, zone));
    } else if (peers != null && ownAddress.getPort() != peers.getPort()) {
      listen.reportFault("peers", Messages.PEER_ADDRESS_DIFFERS);
    }
  }

  private static Map<String, InetSocketAddress> addressesOfOthers(
      String name, Map<RosterMember, InetSocketAddress> roster) {
    Map<String, InetSocketAddress> others = new LinkedHashMap<>();
    roster.forEach((member, address) -> others.put(member.name(), address));
    others.remove(name);
    return others;
  }

  private static String show(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
