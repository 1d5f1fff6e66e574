package org.hemlockpick.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Throwables;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a zone keeps serving while entry instances are stopped, killed or paused. */
class ZoneProcessTest {
  private static final Path CONTRACT = Path.of("..", "examples", "contracts", "lantern.toml");
  private static final String KEY = "demo-customer";
  private static final String PATH = "/v1/customers/lantern/services/litepay";
  private static final Duration TIMEOUT = Duration.ofSeconds(40);
  private static final int CALLERS = 4;
  private static final int MAX_REQUESTS = 10_000;
  private static final Set<String> ALLOWED_RESULTS = Set.of("DONE", "OVER_LIMIT", "STOPPING");

  private final ZoneProcesses zone;

  ZoneProcessTest(@TempDir Path folder) throws IOException {
    zone = new ZoneProcesses(folder);
  }

  @BeforeEach
  void applyContract() throws Exception {
    JsonObject change =
        Json.createObjectBuilder()
            .add("baseRevision", 0)
            .add("operator", "test")
            .add("text", Files.readString(CONTRACT))
            .build();
    // A change whose answer timed out may have been applied, and can't be applied again.
    await(
        () ->
            isDone(zone.operator(0), client -> client.put("/v1/contracts/lantern", change))
                || serves(0));
    for (int i = 0; i < ZoneProcesses.SIZE; i++) {
      int index = i;
      await(() -> serves(index));
    }
  }

  @AfterEach
  void close() {
    zone.close();
  }

  @Test
  void plannedStopInterruptsNoRequest() throws Exception {
    List<JsonObject> answers = new ArrayList<>();
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    try {
      List<Future<List<JsonObject>>> running = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        running.add(callers.submit(this::callUntilStopped));
      }
      zone.signal(1, "-TERM");
      for (Future<List<JsonObject>> caller : running) {
        answers.addAll(caller.get());
      }
    } finally {
      callers.shutdownNow();
    }

    assertEquals(0, zone.exitStatus(1));
    for (JsonObject answer : answers) {
      assertTrue(ALLOWED_RESULTS.contains(answer.getString("result")), answer::toString);
    }
    assertTrue(serves(0));
  }

  @Test
  void keepsServingAfterAnEntryInstanceWasKilled() throws Exception {
    zone.signal(0, "-KILL");

    await(() -> livePeers(1) == 1);
    await(() -> serves(1) && serves(2));
  }

  @Test
  void takesAPausedEntryInstanceBack() throws Exception {
    zone.signal(0, "-STOP");
    await(() -> livePeers(1) == 1);
    await(() -> serves(1));

    zone.signal(0, "-CONT");

    await(() -> livePeers(1) == 2);
    await(() -> serves(0));
  }

  /** The zone is the only one, so no request is served while it is evacuated. */
  @Test
  void evacuateCommandStopsRequestsUntilTheEnd() throws Exception {
    RecordedConsole console = new RecordedConsole();

    assertEquals(0, evacuate(console, 0, "zone-a"), console.err());
    await(() -> result(1).equals("EVACUATED"));
    assertEquals(0, evacuate(console, 2, "--end", "zone-a"), console.err());
    await(() -> serves(1));
    assertEquals(1, evacuate(console, 0, "zone-x"));

    assertEquals(
        List.of("zone-a is evacuated", "zone-a is not evacuated"), console.out().lines().toList());
    assertEquals(
        "hemlockpick: UNKNOWN_ZONE (320): no entry instance is in zone zone-x; zones are zone-a",
        console.err().strip());
  }

  private int evacuate(RecordedConsole console, int index, String... rest) throws IOException {
    List<String> args = new ArrayList<>(List.of("evacuate"));
    args.addAll(zone.operatorArguments(index));
    args.addAll(List.of(rest));
    return console.run(args.toArray(String[]::new));
  }

  private String result(int index) throws IOException {
    try (ApiClient client = zone.client(index, KEY)) {
      return client.post(PATH, request()).getString("result");
    }
  }

  /** Sends requests until the entry instance answers STOPPING or refuses the connection. */
  private List<JsonObject> callUntilStopped() throws IOException {
    List<JsonObject> answers = new ArrayList<>();
    try (ApiClient client = zone.client(1, KEY)) {
      for (int i = 0; i < MAX_REQUESTS; i++) {
        JsonObject answer = client.post(PATH, request());
        answers.add(answer);
        if (answer.getString("result").equals("STOPPING")) {
          return answers;
        }
      }
    } catch (IOException e) {
      if (!isRefusedConnection(e)) {
        throw e;
      }
      return answers;
    }
    throw new AssertionError("the entry instance did not stop");
  }

  private static boolean isRefusedConnection(Throwable error) {
    return Throwables.getCausalChain(error).stream().anyMatch(ConnectException.class::isInstance);
  }

  private boolean serves(int index) throws IOException {
    return isDone(zone.client(index, KEY), client -> client.post(PATH, request()));
  }

  private int livePeers(int index) throws IOException {
    try (ApiClient client = zone.operator(index)) {
      return client.get("/v1/status").getJsonObject("status").getJsonArray("livePeers").size();
    }
  }

  private static boolean isDone(ApiClient opened, Call call) {
    try (ApiClient client = opened) {
      return ApiResults.isDone(call.send(client));
    } catch (IOException e) {
      return false;
    }
  }

  private static JsonObject request() {
    return Json.createObjectBuilder().add("idempotent", true).add("body", 1).build();
  }

  private void await(Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.call()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition did not come true" + zone.logs());
      }
      Thread.sleep(50);
    }
  }

  /** Sends one call. */
  @FunctionalInterface
  private interface Call {
    JsonObject send(ApiClient client) throws IOException;
  }
}
