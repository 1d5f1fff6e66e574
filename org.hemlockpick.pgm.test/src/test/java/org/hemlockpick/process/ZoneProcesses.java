package org.hemlockpick.process;

import com.google.common.hash.Hashing;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.hemlockpick.transport.Eventually;

/** Runs one availability zone as processes: the stand-ins and three entry instances. */
final class ZoneProcesses implements AutoCloseable {
  static final int INSTANCES = 3;
  static final int WORKERS = 4;

  private static final String ZONE = "zone-a";
  private static final String STAND_INS = "stand-ins";
  private static final String READY = "table-service";

  private final Path folder;
  private final ZoneClient client = new ZoneClient();
  private final List<Integer> callerPorts = new ArrayList<>();
  private final List<Integer> peerPorts = new ArrayList<>();
  private final List<ChildProcess> instances = new ArrayList<>();
  private final ChildProcess standIns;
  private final String platform;

  private ZoneProcesses(Path folder) throws IOException {
    this.folder = folder;
    List<Integer> free = freePorts(2 * INSTANCES);
    callerPorts.addAll(free.subList(0, INSTANCES));
    peerPorts.addAll(free.subList(INSTANCES, 2 * INSTANCES));
    standIns =
        ChildProcess.start(
            folder, STAND_INS, "stand-in", "--zone", ZONE, "--workers", String.valueOf(WORKERS));
    try {
      platform = awaitPlatform();
      startInstances();
    } catch (IOException | RuntimeException | Error e) {
      standIns.terminate();
      throw e;
    }
  }

  /** Starts a zone whose contract is in force at every entry instance. */
  static ZoneProcesses start(Path folder) throws IOException {
    ZoneProcesses zone = new ZoneProcesses(folder);
    try {
      zone.awaitAllServing();
      zone.applyContract();
      return zone;
    } catch (IOException | RuntimeException | Error e) {
      zone.close();
      throw e;
    }
  }

  ZoneClient client() {
    return client;
  }

  List<Integer> ports() {
    return List.copyOf(callerPorts);
  }

  int port(int index) {
    return callerPorts.get(index);
  }

  ChildProcess instance(int index) {
    return instances.get(index);
  }

  /** Restarts an entry instance whose process has exited. */
  void restart(int index) throws IOException {
    instances.set(index, startInstance(index));
  }

  /** Sets the injected faults of the table service. */
  void setTableFaults(String faults) throws IOException, InterruptedException {
    client.setFaults(platform + "/table", faults);
  }

  /** Sets the injected faults of every worker. */
  void setWorkerFaults(String faults) throws IOException, InterruptedException {
    for (int i = 0; i < WORKERS; i++) {
      client.setFaults(platform + "/workers/" + ZONE + "-w" + i, faults);
    }
  }

  /** Waits until every entry instance is ready, knows the others, and all workers are owned. */
  void awaitAllServing() {
    awaitServing(IntStream.range(0, INSTANCES).boxed().toList());
  }

  /** Waits until these entry instances are ready, know each other and own all workers. */
  void awaitServing(List<Integer> indexes) {
    Eventually.holds(
        () -> areServing(indexes), () -> "all workers served by " + indexes + statuses());
  }

  /** Waits until an entry instance owns workers, as each does once ownership is stable. */
  void awaitOwner(int index) {
    Eventually.holds(() -> !ownedBy(index).isEmpty(), () -> name(index) + " owns" + statuses());
  }

  /** Returns the names of the workers that an entry instance owns; empty if it does not answer. */
  Set<String> ownedBy(int index) {
    JsonObject status = status(index);
    return status.isEmpty()
        ? Set.of()
        : status.getJsonArray("workers").getValuesAs(JsonObject.class).stream()
            .filter(worker -> worker.getJsonNumber("epoch").longValue() > 0)
            .map(worker -> worker.getString("worker"))
            .collect(Collectors.toSet());
  }

  /** Runs a command of the program until it exits, and returns its standard output. */
  String runCommand(int status, String... arguments) throws IOException {
    ChildProcess command = ChildProcess.start(folder, "command-" + arguments[0], arguments);
    int found = command.waitFor();
    if (found != status) {
      throw new AssertionError(found + " " + command.out() + Files.readString(command.log()));
    }
    return command.out();
  }

  /** Returns the runs so far of all requests at the workers. */
  RunLog runs() throws IOException {
    return RunLog.read(standIns.log());
  }

  /** Returns the logs of the stand-ins and the entry instances. */
  List<Path> logs() {
    Stream<Path> ofInstances =
        IntStream.range(0, INSTANCES).mapToObj(i -> folder.resolve(name(i) + ".log"));
    return Stream.concat(Stream.of(standIns.log()), ofInstances).toList();
  }

  /** Returns the contract of the customer. */
  static String contract(int perSecond) {
    return """
        customer = "%s"

        [keys]
        sha256 = ["%s"]

        [requests]
        in-flight = 60
        per-second = %d

        [services.litepay]
        timeout = "20 s"
        target = "200 ms"

        [batch]
        tasks = 60
        job-tasks = 20
        deadline = "1 h"
        """
        .formatted(ZoneClient.CUSTOMER, digest(ZoneClient.CUSTOMER_KEY), perSecond);
  }

  @Override
  public void close() {
    for (ChildProcess instance : instances) {
      instance.kill();
    }
    standIns.kill();
  }

  private void startInstances() throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(startInstance(i));
    }
  }

  private ChildProcess startInstance(int index) throws IOException {
    Path settings = Files.writeString(folder.resolve(name(index) + ".toml"), settings(index));
    return ChildProcess.start(folder, name(index), "serve", "--settings", settings.toString());
  }

  private void applyContract() throws IOException {
    Path contract = Files.writeString(folder.resolve("lantern.toml"), contract(600));
    Path key = Files.writeString(folder.resolve("operator.key"), ZoneClient.OPERATOR_KEY + "\n");
    runCommand(
        0,
        "apply",
        "--url",
        "http://127.0.0.1:" + port(0),
        "--key-file",
        key.toString(),
        "--operator",
        "kei",
        contract.toString());
    for (int i = 0; i < INSTANCES; i++) {
      awaitContract(i);
    }
  }

  private void awaitContract(int index) {
    Eventually.holds(
        () -> status(index).getInt("configVersion", 0) > 0, () -> "contract at " + name(index));
  }

  private boolean areServing(List<Integer> indexes) {
    Set<String> owned = new TreeSet<>();
    for (int index : indexes) {
      JsonObject status = status(index);
      if (!status.getBoolean("ready", false)
          || status.getJsonArray("livePeers").size() < indexes.size() - 1) {
        return false;
      }
      owned.addAll(ownedBy(index));
    }
    return owned.size() == WORKERS;
  }

  private JsonObject status(int index) {
    try {
      JsonObject answer = client.operatorGet(port(index), "/v1/status").json();
      return answer.containsKey("status")
          ? answer.getJsonObject("status")
          : JsonObject.EMPTY_JSON_OBJECT;
    } catch (IOException e) {
      return JsonObject.EMPTY_JSON_OBJECT;
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private String statuses() {
    return IntStream.range(0, INSTANCES)
        .filter(i -> instances.get(i).isAlive())
        .mapToObj(i -> "\n" + status(i))
        .collect(Collectors.joining());
  }

  private String awaitPlatform() {
    Eventually.holds(() -> !platformLine().isEmpty(), () -> "the stand-ins run");
    return platformLine().replace(READY + " ", "").replace("/table", "");
  }

  private String platformLine() {
    try {
      return standIns.out().lines().filter(line -> line.startsWith(READY)).findFirst().orElse("");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private String settings(int index) {
    String roster =
        IntStream.range(0, INSTANCES)
            .mapToObj(this::rosterMember)
            .collect(Collectors.joining("\n"));
    return """
        [instance]
        name = "%1$s"
        zone = "zone-a"
        [listen]
        callers = "127.0.0.1:%2$d"
        peers = "127.0.0.1:%3$d"
        [platform]
        table-service = "%4$s/table"
        object-store = "%4$s/objects"
        instance-list = "%4$s/list"
        [operators]
        key-sha256 = ["%5$s"]
        %6$s
        """
        .formatted(
            name(index),
            port(index),
            peerPorts.get(index),
            platform,
            digest(ZoneClient.OPERATOR_KEY),
            roster);
  }

  private String rosterMember(int index) {
    return """
        [[roster]]
        name = "%s"
        zone = "zone-a"
        peers = "127.0.0.1:%d"
        """
        .formatted(name(index), peerPorts.get(index));
  }

  private static String name(int index) {
    return "entry-a-" + (index + 1);
  }

  private static String digest(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }
}
