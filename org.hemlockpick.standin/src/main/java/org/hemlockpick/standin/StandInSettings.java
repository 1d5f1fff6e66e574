package org.hemlockpick.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.hemlockpick.proto.Capacity;
import org.hemlockpick.util.DepthLimitedToml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * Settings of a process that runs stand-ins.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 for any free port
 * @param roles stand-ins that run in this process
 * @param listAddress address of the instance list; empty if it runs in this process
 * @param objectsAddress address of the object store; empty if it runs in this process
 * @param zones names of the availability zones
 * @param workersPerZone number of workers in each zone
 * @param workersPerRack number of workers in each rack of a zone
 * @param capacity capacity of each worker
 * @param serviceTime duration of a request whose body does not specify one
 * @param taskTime duration of a task at full speed if its payload does not specify one
 * @param checkpointInterval progress of a task between two checkpoints
 * @param listLag time for which an instance stays on the list after its last heartbeat
 */
public record StandInSettings(
    String host,
    int port,
    Set<Role> roles,
    String listAddress,
    String objectsAddress,
    List<String> zones,
    int workersPerZone,
    int workersPerRack,
    Capacity capacity,
    Duration serviceTime,
    Duration taskTime,
    Duration checkpointInterval,
    Duration listLag) {

  /** A kind of stand-in that a process can run. */
  public enum Role {
    TABLE,
    OBJECTS,
    LIST,
    WORKERS
  }

  /** Returns the default settings, with all stand-ins in one process. */
  public static StandInSettings all(List<String> zones, int workersPerZone) {
    return new StandInSettings(
        "127.0.0.1",
        0,
        Set.of(Role.values()),
        "",
        "",
        zones,
        workersPerZone,
        8,
        defaultCapacity(),
        Duration.ofMillis(20),
        Duration.ofSeconds(10),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5));
  }

  /**
   * Reads settings in TOML. Missing keys have the defaults of {@link #all}.
   *
   * @throws IOException if the file cannot be read
   * @throws IllegalArgumentException if the file is not TOML or a value is out of range
   */
  public static StandInSettings read(Path file) throws IOException {
    TomlParseResult toml = DepthLimitedToml.parse(Files.readString(file));
    if (toml.hasErrors()) {
      throw new IllegalArgumentException(toml.errors().get(0).toString());
    }
    StandInSettings defaults = all(List.of("zone-a"), 4);
    return new StandInSettings(
        toml.getString("host", defaults::host),
        integer(toml, "port", defaults.port(), 65_535),
        roles(toml, defaults.roles()),
        toml.getString("list", defaults::listAddress),
        toml.getString("objects", defaults::objectsAddress),
        strings(toml, "zones", defaults.zones()),
        integer(toml, "workers_per_zone", defaults.workersPerZone(), 10_000),
        Math.max(1, integer(toml, "workers_per_rack", defaults.workersPerRack(), 10_000)),
        capacity(toml.getTableOrEmpty("capacity"), defaults.capacity()),
        millis(toml, "service_millis", defaults.serviceTime()),
        millis(toml, "task_millis", defaults.taskTime()),
        millis(toml, "checkpoint_millis", defaults.checkpointInterval()),
        millis(toml, "list_lag_millis", defaults.listLag()));
  }

  private static Capacity defaultCapacity() {
    return Capacity.newBuilder()
        .setSlots(8)
        .setConnections(64)
        .setCpuMillis(64_000)
        .setMemoryMb(250_000)
        .build();
  }

  private static Capacity capacity(TomlTable toml, Capacity defaults) {
    int max = Integer.MAX_VALUE;
    return Capacity.newBuilder()
        .setSlots(integer(toml, "slots", defaults.getSlots(), max))
        .setConnections(integer(toml, "connections", defaults.getConnections(), max))
        .setCpuMillis(integer(toml, "cpu_millis", defaults.getCpuMillis(), max))
        .setMemoryMb(integer(toml, "memory_mb", defaults.getMemoryMb(), max))
        .setAccelerators(integer(toml, "accelerators", defaults.getAccelerators(), max))
        .build();
  }

  private static Set<Role> roles(TomlTable toml, Set<Role> defaults) {
    if (!toml.contains("roles")) {
      return defaults;
    }
    Set<Role> roles = new TreeSet<>();
    for (String name : strings(toml, "roles", List.of())) {
      roles.add(Role.valueOf(name.toUpperCase(Locale.ROOT)));
    }
    return roles;
  }

  private static List<String> strings(TomlTable toml, String key, List<String> defaults) {
    TomlArray array = toml.getArray(key);
    if (array == null) {
      return defaults;
    }
    if (!array.toList().stream().allMatch(String.class::isInstance)) {
      throw new IllegalArgumentException(Messages.badSetting(key));
    }
    return array.toList().stream().map(String.class::cast).toList();
  }

  private static Duration millis(TomlTable toml, String key, Duration defaultValue) {
    return Duration.ofMillis(integer(toml, key, (int) defaultValue.toMillis(), Integer.MAX_VALUE));
  }

  private static int integer(TomlTable toml, String key, int defaultValue, int max) {
    long value = toml.getLong(key, () -> defaultValue);
    if (value < 0 || value > max) {
      throw new IllegalArgumentException(Messages.badSetting(key));
    }
    return (int) value;
  }
}
