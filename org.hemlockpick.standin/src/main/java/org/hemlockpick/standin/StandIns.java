package org.hemlockpick.standin;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hemlockpick.proto.InstanceRole;
import org.hemlockpick.proto.ListedInstance;
import org.hemlockpick.standin.StandInSettings.Role;

/**
 * Runs the stand-ins of one process on one port: the table service under {@code /table}, the object
 * store under {@code /objects}, the instance list under {@code /list} and each worker under {@code
 * /workers/} followed by its name.
 */
public final class StandIns implements AutoCloseable {
  /** Path prefix of the table service. */
  public static final String TABLE_PREFIX = "/table";

  /** Path prefix of the object store. */
  public static final String OBJECTS_PREFIX = "/objects";

  /** Path prefix of the instance list. */
  public static final String LIST_PREFIX = "/list";

  private static final String WORKERS_PREFIX = "/workers/";

  private final StandInSettings settings;
  private final InstantSource time = InstantSource.system();
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(StandIns::newThread);
  private final PlatformClient client = new PlatformClient();
  private final StandInServer server;
  private final Map<String, WorkerStandIn> workers = new TreeMap<>();
  private final List<WorkerRegistration> registrations = new ArrayList<>();

  /** Starts the stand-ins that the settings select. */
  public StandIns(StandInSettings settings) {
    this.settings = settings;
    this.server = new StandInServer(settings.host(), settings.port());
    if (settings.roles().contains(Role.TABLE)) {
      server.mount(TABLE_PREFIX, new TableServiceStandIn("table-service", time));
    }
    if (settings.roles().contains(Role.OBJECTS)) {
      server.mount(OBJECTS_PREFIX, new ObjectStoreStandIn("object-store", time));
    }
    if (settings.roles().contains(Role.LIST)) {
      server.mount(LIST_PREFIX, new InstanceListStandIn("instance-list", settings.listLag(), time));
    }
    if (settings.roles().contains(Role.WORKERS)) {
      settings.zones().forEach(this::startZone);
    }
  }

  /** Returns the server, through which faults are set. */
  public StandInServer server() {
    return server;
  }

  /** Returns the address of the table service. */
  public String tableAddress() {
    return server.address(TABLE_PREFIX);
  }

  /** Returns the address of the object store, whether it is in this process or external. */
  public String objectsAddress() {
    return settings.objectsAddress().isEmpty()
        ? server.address(OBJECTS_PREFIX)
        : settings.objectsAddress();
  }

  /** Returns the address of the instance list, whether it is in this process or external. */
  public String listAddress() {
    return settings.listAddress().isEmpty() ? server.address(LIST_PREFIX) : settings.listAddress();
  }

  /** Returns the address of a worker. */
  public String workerAddress(String worker) {
    return server.address(WORKERS_PREFIX + worker);
  }

  /** Returns the workers by name. */
  public Map<String, WorkerStandIn> workers() {
    return Map.copyOf(workers);
  }

  @Override
  public void close() {
    registrations.forEach(WorkerRegistration::close);
    workers.values().forEach(WorkerStandIn::close);
    server.close();
    client.close();
    executor.shutdownNow();
  }

  private void startZone(String zone) {
    for (int i = 0; i < settings.workersPerZone(); i++) {
      startWorker(zone, i);
    }
  }

  private void startWorker(String zone, int number) {
    String name = zone + "-w" + number;
    WorkerSettings workerSettings =
        new WorkerSettings(
            name,
            settings.capacity(),
            settings.serviceTime(),
            settings.taskTime(),
            settings.checkpointInterval());
    PayloadSource payloads = new RemotePayloads(client, objectsAddress());
    WorkerStandIn worker = new WorkerStandIn(workerSettings, time, executor, payloads);
    workers.put(name, worker);
    server.mount(WORKERS_PREFIX + name, worker);
    ListedInstance instance =
        ListedInstance.newBuilder()
            .setName(name)
            .setZone(zone)
            .setRole(InstanceRole.WORKER)
            .setAddress(workerAddress(name))
            .setRack(zone + "-r" + number / settings.workersPerRack())
            .build();
    registrations.add(new WorkerRegistration(client, listAddress(), instance, worker, executor));
  }

  private static Thread newThread(Runnable work) {
    Thread thread = new Thread(work, "stand-ins");
    thread.setDaemon(true);
    return thread;
  }
}
