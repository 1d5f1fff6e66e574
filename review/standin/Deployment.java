import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A small deployment: a store, workers of one service, one queue, and entry instances. */
final class Deployment {
  static final String PREFIX = "/jobs/";
  static final long MAX_LEASE_MILLIS = 6_000;

  final World world;
  final Store store;
  final List<Worker> workers = new ArrayList<>();
  final List<Entry> entries = new ArrayList<>();
  private final int maxAttempts;
  private final Path folder;

  Deployment(World world, int workerCount, int entryCount, int maxAttempts) throws IOException {
    this.world = world;
    this.store = new Store(world);
    this.folder = Files.createTempDirectory("review");
    this.maxAttempts = maxAttempts;
    putManifest(1, "jobs", "other");
    for (int i = 0; i < workerCount; i++) {
      workers.add(new Worker(world, store, i, 8_000, MAX_LEASE_MILLIS));
    }
    for (int i = 1; i <= entryCount; i++) {
      Store.Port port = store.new Port();
      entries.add(new Entry(world, folder, i, port.address(), MAX_LEASE_MILLIS));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    for (Entry entry : entries) {
      entry.start();
    }
    if (!await(30_000, () -> entries.stream().allMatch(Entry::isReady))) {
      throw new IOException("the entry instances are not ready after 30 s");
    }
    world.log("all entry instances are ready");
  }

  /** Writes a manifest, as the operator does, with a route for each of some prefixes. */
  void putManifest(int version, String... prefixes) {
    ObjectNode manifest = StubServer.object().put("version", version);
    ArrayNode routes = manifest.putArray("routes");
    for (String prefix : prefixes) {
      ObjectNode route = routes.addObject();
      route.put("name", "r-" + prefix).put("host", "127.0.0.1");
      route.put("path_prefix", "/" + prefix + "/").put("kind", "non_idempotent");
      route.put("timeout_ms", 3_000).put("service", "svc").put("max_attempts", maxAttempts);
      route.put("priority", 1).put("slack_factor", 1.5).put("target_latency_ms", 1_000);
    }
    ObjectNode service = manifest.putArray("services").addObject();
    service.put("name", "svc").put("enforce_capacity", true);
    manifest.putObject("limits").put("max_body_bytes", 262_144);
    store.put("op", "config", manifest);
    world.log("the store confirms manifest %d with routes %s", version, List.of(prefixes));
  }

  /** Returns the worker where a task whose name begins so runs; null if there is none. */
  Worker workerOf(String prefix) {
    return workers.stream().filter(worker -> worker.runs(prefix)).findFirst().orElse(null);
  }

  /** Waits for a condition; returns whether it came true in time. */
  boolean await(long millis, BooleanSupplier condition) {
    long end = world.now() + millis;
    while (!condition.getAsBoolean()) {
      if (world.now() >= end) {
        return false;
      }
      World.sleep(20);
    }
    return true;
  }

  private void end() {
    entries.forEach(Entry::end);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException e) {
      world.log("the temporary folder is left: %s", e);
    }
  }
}
