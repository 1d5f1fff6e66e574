package org.hemlockpick.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import jakarta.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.process.Load.Call;
import org.hemlockpick.transport.Eventually;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests faults of the processes of a zone; each test leaves all instances running. All share one
 * zone, and JUnit orders them by their names: with other names the instance that is paused may own
 * no worker yet.
 */
class ZoneProcessesTest {
  private static final int SOME_CALLS = 40;
  private static final long LONGER_THAN_A_LEASE_MILLIS = 6_000;
  private static final long FAULT_MILLIS = 2_500;

  private static ZoneProcesses zone;
  private static ZoneClient client;

  @BeforeAll
  static void startZone(@TempDir Path folder) throws Exception {
    zone = ZoneProcesses.start(folder);
    client = zone.client();
  }

  @AfterAll
  static void closeZone() {
    zone.close();
  }

  @BeforeEach
  void awaitAllServing() {
    zone.awaitAllServing();
  }

  @Test
  void theOthersTakeOverFromAKilledInstance() throws Exception {
    String job = submitJob("killed");
    Load load = Load.start(client, zone.ports(), "killed");
    awaitMoreCalls(load);

    zone.instance(0).kill();

    zone.awaitServing(List.of(1, 2));
    awaitMoreCalls(load);
    List<Call> calls = load.stop();
    assertIdempotentDone(calls);
    assertNoneRanTwice(calls);
    awaitJobDone(1, job);
    zone.restart(0);
    zone.awaitAllServing();
  }

  @Test
  void aFrozenInstanceLosesItsWorkersAndRejoins() throws Exception {
    zone.awaitOwner(1);
    Load load = Load.start(client, zone.ports(), "frozen");
    awaitMoreCalls(load);

    zone.instance(1).pause();
    try {
      zone.awaitServing(List.of(0, 2));
      assertTrue(client.request(zone.port(0), "while-frozen", true, 0).isDone());
      assertTrue(client.request(zone.port(2), "once-while-frozen", false, 0).isDone());
      Thread.sleep(LONGER_THAN_A_LEASE_MILLIS);
    } finally {
      zone.instance(1).resume();
    }

    zone.awaitAllServing();
    awaitMoreCalls(load);
    List<Call> calls = load.stop();
    assertIdempotentDone(calls);
    assertNoneRanTwice(calls);
    assertTrue(client.request(zone.port(1), "rejoined", true, 0).isDone());
  }

  @Test
  void aStoppedInstanceAnswersWhatItTookAndExitsWithZero() throws Exception {
    ExecutorService callers = Executors.newCachedThreadPool();
    List<Future<Answer>> inFlight = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      String label = "stopped-slow-" + i;
      boolean idempotent = i % 2 == 0;
      inFlight.add(callers.submit(() -> client.request(zone.port(2), label, idempotent, 2_000)));
    }
    Load load = Load.startWithoutRetries(client, zone.ports(), "stopped");
    awaitMoreCalls(load);
    awaitRuns("stopped-slow-", inFlight.size());

    long stoppedNanos = System.nanoTime();
    zone.instance(2).terminate();

    for (Future<Answer> answer : inFlight) {
      assertEquals(ResultCode.DONE, answer.get().code(), answer.get().json()::toString);
    }
    assertEquals(0, zone.instance(2).waitFor());
    awaitMoreCalls(load);
    callers.shutdown();
    List<Call> calls = load.stop();
    assertNoneInterrupted(calls, zone.port(2), stoppedNanos);
    zone.restart(2);
    zone.awaitAllServing();
  }

  @Test
  void requestsOutliveAnOutageOfTheTableService() throws Exception {
    Load load = Load.start(client, zone.ports(), "outage");
    awaitMoreCalls(load);
    for (String fault :
        List.of("{\"down\":true}", "{\"delayMillis\":2500}", "{\"loseAnswers\":true}")) {
      zone.setTableFaults(fault);
      Thread.sleep(FAULT_MILLIS);
      assertIdempotentRequestWorks(load);
    }

    zone.setTableFaults("{}");

    awaitMoreCalls(load);
    List<Call> calls = load.stop();
    assertIdempotentDone(calls);
    assertEveryCallDoneOrNotRun(calls);
    Eventually.holds(() -> isDone(0, "after-outage"), () -> "non-idempotent requests work again");
    assertEquals(1, zone.runs().count("after-outage"));
    awaitJobDone(2, submitJob("outage"));
  }

  @Test
  void oneOfTwoRacingOperatorsIsRefused() throws Exception {
    long base = revision(0);
    ExecutorService operators = Executors.newFixedThreadPool(2);
    Future<Answer> first =
        operators.submit(() -> client.change(zone.port(0), base, ZoneProcesses.contract(601)));
    Future<Answer> second =
        operators.submit(() -> client.change(zone.port(1), base, ZoneProcesses.contract(602)));

    Set<ResultCode> codes = Set.of(first.get().code(), second.get().code());
    operators.shutdown();

    assertEquals(Set.of(ResultCode.DONE, ResultCode.CONTRACT_CONFLICT), codes);
    long accepted = first.get().isDone() ? 601 : 602;
    for (int i = 0; i < ZoneProcesses.INSTANCES; i++) {
      int index = i;
      Eventually.holds(
          () -> contractText(index).contains("per-second = " + accepted),
          () -> "the accepted contract at " + index);
    }
  }

  @Test
  void requestsWorkAgainAfterConnectionsFellSilent() throws Exception {
    Load load = Load.start(client, zone.ports(), "silent");
    awaitMoreCalls(load);

    zone.setWorkerFaults("{\"silentConnections\":true}");

    zone.awaitAllServing();
    Eventually.holds(() -> isDone(0, "after-silence"), () -> "requests work again");
    awaitMoreCalls(load);
    List<Call> calls = load.stop();
    zone.setWorkerFaults("{}");
    assertIdempotentDone(calls);
    assertNoneRanTwice(calls);
  }

  @Test
  void allLogsMergeIntoOneTimeline() throws Exception {
    assertTrue(client.request(zone.port(0), "logged", true, 0).isDone());
    Set<String> writers = new TreeSet<>();
    List<String> command = new ArrayList<>(List.of("timeline", "--json"));
    for (Path log : zone.logs()) {
      Files.readAllLines(log).forEach(JsonLines::parse);
      command.add(log.toString());
    }

    String merged = zone.runCommand(0, command.toArray(new String[0]));

    long before = 0;
    for (String line : merged.lines().toList()) {
      JsonObject event = JsonLines.parse(line);
      long clock = event.getJsonNumber("clock").longValue();
      assertTrue(clock >= before, line);
      before = clock;
      writers.add(event.getString("instance"));
    }
    assertTrue(
        writers.containsAll(
            List.of("entry-a-1", "entry-a-2", "entry-a-3", "table-service", "zone-a-w0")),
        writers::toString);
  }

  private static String submitJob(String key) throws Exception {
    Answer submitted = client.submit(zone.port(0), key, 8, 1_000);
    assertTrue(submitted.isDone(), submitted.json()::toString);
    return submitted.json().getJsonObject("job").getString("job");
  }

  private static void awaitJobDone(int index, String job) {
    Eventually.holds(
        () -> {
          JsonObject answer = call(() -> client.job(zone.port(index), job)).json();
          return answer.containsKey("job") && answer.getJsonObject("job").getInt("done") == 8;
        },
        () -> "job " + job + " done: " + call(() -> client.job(zone.port(index), job)).json());
  }

  private static void awaitMoreCalls(Load load) {
    int goal = load.completed() + SOME_CALLS;
    Eventually.holds(() -> load.completed() >= goal, () -> "more calls complete");
  }

  private static void assertIdempotentRequestWorks(Load load) throws Exception {
    int port = zone.port(1);
    Answer answer = client.request(port, "during-fault-" + load.completed(), true, 0);
    assertTrue(answer.isDone(), answer.json()::toString);
  }

  private static void awaitRuns(String prefix, int count) {
    Eventually.holds(
        () -> {
          RunLog runs = call(zone::runs);
          return IntStream.range(0, count).allMatch(i -> runs.count(prefix + i) > 0);
        },
        () -> count + " requests run");
  }

  private static boolean isDone(int index, String label) {
    return call(() -> client.request(zone.port(index), label, false, 0)).isDone();
  }

  private static long revision(int index) throws Exception {
    return contract(index).getJsonNumber("revision").longValue();
  }

  private static String contractText(int index) {
    return call(() -> contract(index)).getString("text");
  }

  private static JsonObject contract(int index) throws Exception {
    JsonObject answer = client.operatorGet(zone.port(index), "/v1/contracts").json();
    return answer.getJsonArray("contracts").getJsonObject(0);
  }

  private static void assertIdempotentDone(List<Call> calls) {
    for (Call call : calls) {
      assertTrue(!call.idempotent() || call.isDone(), call::toString);
    }
  }

  private static void assertNoneRanTwice(List<Call> calls) throws IOException {
    RunLog log = zone.runs();
    for (Call call : calls) {
      int runs = log.count(call.label());
      assertTrue(call.idempotent() || runs <= 1, () -> runs + " runs: " + call);
      assertTrue(!call.isDone() || runs > 0, () -> "did not run: " + call);
      assertTrue(!call.isNotRun() || runs == 0, () -> "ran though refused: " + call);
    }
  }

  /** Asserts that each call was done or refused as not run, and that the workers' log agrees. */
  private static void assertEveryCallDoneOrNotRun(List<Call> calls) throws IOException {
    assertNoneRanTwice(calls);
    for (Call call : calls) {
      assertTrue(call.isDone() || call.isNotRun(), call::toString);
    }
  }

  /**
   * Asserts that each call was done or refused. A call sent to the port after the stop began may
   * have found the port closed instead, and must not have run.
   */
  private static void assertNoneInterrupted(List<Call> calls, int port, long stoppedNanos)
      throws IOException {
    assertNoneRanTwice(calls);
    RunLog log = zone.runs();
    for (Call call : calls) {
      Attempt attempt = call.last();
      boolean lateAtPort = attempt.port() == port && attempt.startNanos() - stoppedNanos >= 0;
      boolean isClosed = attempt.code() == null && lateAtPort;
      assertTrue(call.isDone() || call.isNotRun() || isClosed, call::toString);
      assertTrue(!isClosed || log.count(call.label()) == 0, () -> "cut off: " + call);
    }
  }

  private static <T> T call(Callable<T> call) {
    try {
      return call.call();
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }
}
