package org.hemlockpick.pgm;

import io.micronaut.http.server.exceptions.ServerStartupException;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockpick.daemon.Logging;
import org.hemlockpick.standin.StandInSettings;
import org.hemlockpick.standin.StandInSettings.Role;
import org.hemlockpick.standin.StandIns;
import org.jspecify.annotations.Nullable;

/** Runs stand-ins for the platform until the process is stopped. */
final class StandInCommand implements Command {
  private static final int MAX_PORT = 65_535;
  private static final int MAX_WORKERS = 10_000;

  private final Console console;
  private Set<Role> roles = Set.of(Role.values());
  private int port;
  private List<String> zones = List.of("zone-a");
  private int workers = 4;
  private String instanceList = "";
  private String objectStore = "";

  StandInCommand(Console console) {
    this.console = console;
  }

  static void configure(Subparser command) {
    command
        .addArgument("--only")
        .choices("worker", "table-service", "object-store", "instance-list")
        .help("run just these stand-ins");
    command
        .addArgument("--port")
        .type(Integer.class)
        .setDefault(0)
        .help("port to listen at; 0 for any free one");
    command
        .addArgument("--zone")
        .nargs("+")
        .setDefault(List.of("zone-a"))
        .help("availability zones of the workers");
    command
        .addArgument("--workers")
        .type(Integer.class)
        .setDefault(4)
        .metavar("N")
        .help("workers in each availability zone");
    command
        .addArgument("--instance-list")
        .metavar("ADDRESS")
        .help("host:port/path of the instance list, if it runs elsewhere");
    command
        .addArgument("--object-store")
        .metavar("ADDRESS")
        .help("host:port/path of the object store, if it runs elsewhere");
    command.epilog(
        Messages.examples(
            "hemlockpick stand-in --port 9000 --zone zone-a --workers 4",
            "hemlockpick stand-in --only worker --port 9100 --zone zone-b --workers 2"
                + " --instance-list 127.0.0.1:9000/list --object-store 127.0.0.1:9000/objects"));
  }

  static StandInCommand of(Namespace values, Console console) {
    return new StandInCommand(console)
        .setOnly(values.getString("only"))
        .setPort(values.getInt("port"))
        .setZones(values.getList("zone"))
        .setWorkers(values.getInt("workers"))
        .setInstanceList(values.getString("instance_list"))
        .setObjectStore(values.getString("object_store"));
  }

  /** Sets the only kind of stand-in to run, or null for all kinds. */
  StandInCommand setOnly(@Nullable String kind) {
    if (kind != null) {
      roles = Set.of(role(kind));
    }
    return this;
  }

  /** Sets the port to listen on; 0 for any free port. */
  StandInCommand setPort(int port) {
    this.port = inRange("--port", port, MAX_PORT);
    return this;
  }

  /** Sets the availability zones in which workers run. */
  StandInCommand setZones(List<String> zones) {
    this.zones = List.copyOf(zones);
    return this;
  }

  /** Sets the number of workers in each availability zone. */
  StandInCommand setWorkers(int workers) {
    this.workers = inRange("--workers", workers, MAX_WORKERS);
    return this;
  }

  /** Sets the address of an external instance list, or null for the one in this process. */
  StandInCommand setInstanceList(@Nullable String address) {
    instanceList = address == null ? "" : address;
    return this;
  }

  /** Sets the address of an external object store, or null for the one in this process. */
  StandInCommand setObjectStore(@Nullable String address) {
    objectStore = address == null ? "" : address;
    return this;
  }

  @Override
  public int call() throws IOException, InterruptedException {
    boolean onlyWorkers = roles.equals(Set.of(Role.WORKERS));
    if (onlyWorkers && (instanceList.isEmpty() || objectStore.isEmpty())) {
      throw new UsageException(Messages.WORKERS_REQUIRE_ADDRESSES);
    }
    Logging.install(Level.INFO);
    try (StandIns standIns = start()) {
      showAddresses(standIns);
      new CountDownLatch(1).await();
    }
    return ExitStatus.OK;
  }

  private StandIns start() throws IOException {
    try {
      return new StandIns(settings());
    } catch (ServerStartupException e) {
      throw new IOException(Messages.cannotListen(port, e), e);
    }
  }

  private StandInSettings settings() {
    StandInSettings defaults = StandInSettings.all(zones, workers);
    return new StandInSettings(
        defaults.host(),
        port,
        roles,
        instanceList,
        objectStore,
        zones,
        workers,
        defaults.workersPerRack(),
        defaults.capacity(),
        defaults.serviceTime(),
        defaults.taskTime(),
        defaults.checkpointInterval(),
        defaults.listLag());
  }

  private void showAddresses(StandIns standIns) {
    if (roles.contains(Role.TABLE)) {
      console.out().println("table-service http://" + standIns.tableAddress());
    }
    if (roles.contains(Role.OBJECTS)) {
      console.out().println("object-store http://" + standIns.objectsAddress());
    }
    if (roles.contains(Role.LIST)) {
      console.out().println("instance-list http://" + standIns.listAddress());
    }
    standIns.workers().keySet().stream()
        .sorted()
        .forEach(name -> console.out().println("worker http://" + standIns.workerAddress(name)));
    console.out().println(Messages.STAND_INS_RUNNING);
    console.out().flush();
  }

  private static Role role(String kind) {
    return switch (kind) {
      case "worker" -> Role.WORKERS;
      case "table-service" -> Role.TABLE;
      case "object-store" -> Role.OBJECTS;
      default -> Role.LIST;
    };
  }

  private static int inRange(String option, int value, int max) {
    if (value < 0 || value > max) {
      throw new UsageException(Messages.outOfRange(option, max));
    }
    return value;
  }
}
