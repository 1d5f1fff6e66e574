package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.Input;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests idempotent requests under which connections to workers break. */
class BrokenConnectionTest {
  /** Number of workers that one request may take down. */
  private static final int MAX_BROKEN_WORKERS = 2;

  /** Time for two attempts that break at once, each with the longest wait for a slot. */
  private static final long MAX_ANSWER_MILLIS = 700;

  private static final int TIMEOUT_MILLIS = 5_000;
  private static final ByteString BODY = ByteString.copyFromUtf8("i-breaks");

  /** Guards against a request that takes down one worker after the other. */
  @ParameterizedTest
  @ValueSource(strings = {"zone0-0", "zone0-1", "zone0-2", "zone1-0", "zone1-1", "zone1-2"})
  void requestThatBreaksEveryConnectionReachesTwoWorkersAtMost(String node) {
    World world = started(71);
    world.breakingBody = BODY;
    long askedAt = world.time.millis();

    CallerAnswer answer = ask(world, node);

    long took = world.time.millis() - askedAt;
    assertEquals(ResultCode.OUTCOME_UNKNOWN.number(), answer.getCode());
    assertTrue(took <= MAX_ANSWER_MILLIS, () -> took + " ms");
    assertTrue(world.brokenWorkers.size() <= MAX_BROKEN_WORKERS, world.brokenWorkers::toString);
  }

  /** Guards against peers that count anew, each for itself. */
  @ParameterizedTest
  @ValueSource(longs = {72, 73, 74, 75, 76, 77, 78, 79})
  void forwardedRequestReachesTwoWorkersAtMost(long seed) {
    World world = started(seed);
    String node = withoutWorkers(world);
    world.breakingBody = BODY;
    long askedAt = world.time.millis();

    CallerAnswer answer = ask(world, node);

    long took = world.time.millis() - askedAt;
    assertEquals(ResultCode.OUTCOME_UNKNOWN.number(), answer.getCode());
    assertTrue(took <= MAX_ANSWER_MILLIS, () -> took + " ms");
    assertTrue(world.brokenWorkers.size() <= MAX_BROKEN_WORKERS, world.brokenWorkers::toString);
  }

  /** Guards against a request that is given up for the loss of one worker. */
  @ParameterizedTest
  @ValueSource(strings = {"zone0-0", "zone0-1", "zone0-2", "zone1-0", "zone1-1", "zone1-2"})
  void requestUnderWhichOneConnectionBreaksIsServedByAnotherWorker(String node) {
    World world = started(71);
    world.breakingBody = BODY;
    world.breaksLeft = 1;
    Map<String, Integer> before = offers(world);

    CallerAnswer answer = ask(world, node);

    assertEquals(ResultCode.DONE.number(), answer.getCode());
    assertServedElsewhere(world, before);
  }

  /** Guards against a forward that is given up for the loss of one worker. */
  @ParameterizedTest
  @ValueSource(longs = {72, 73, 74, 75, 76, 77, 78, 79})
  void forwardedRequestUnderWhichOneConnectionBreaksIsServedByAnotherWorker(long seed) {
    World world = started(seed);
    String node = withoutWorkers(world);
    world.breakingBody = BODY;
    world.breaksLeft = 1;
    Map<String, Integer> before = offers(world);

    CallerAnswer answer = ask(world, node);

    assertEquals(ResultCode.DONE.number(), answer.getCode());
    assertServedElsewhere(world, before);
  }

  private static World started(long seed) {
    Scenario scenario = new Scenario(seed);
    scenario.startWithContracts();
    return scenario.world;
  }

  /** Ends a worker, so that an entry instance of its zone has none; returns that instance. */
  private static String withoutWorkers(World world) {
    WorkerNode worker = world.worker("worker0-0");
    worker.kill();
    worker.listed = false;
    world.time.runFor(20_000);
    return world.entriesOf("zone0").stream()
        .filter(node -> world.workers.keySet().stream().noneMatch(node::holds))
        .map(node -> node.name)
        .findFirst()
        .orElseThrow();
  }

  private static void assertServedElsewhere(World world, Map<String, Integer> before) {
    assertEquals(1, world.brokenWorkers.size());
    List<String> served =
        world.workers.values().stream()
            .filter(worker -> worker.offers > before.getOrDefault(worker.name, 0))
            .map(worker -> worker.name)
            .toList();
    assertEquals(1, served.size(), served::toString);
    assertNotEquals(world.brokenWorkers.get(0), served.get(0));
  }

  private static Map<String, Integer> offers(World world) {
    Map<String, Integer> offers = new HashMap<>();
    world.workers.values().forEach(worker -> offers.put(worker.name, worker.offers));
    return offers;
  }

  /** Asks an entry instance and returns its answer. */
  private static CallerAnswer ask(World world, String node) {
    long exchange = 1_000_000;
    CallerRequest.Builder request =
        CallerRequest.newBuilder()
            .setExchange(exchange)
            .setCustomer("lanternhall")
            .setKeyDigest(Callers.KEY_DIGEST)
            .setService("litepay")
            .setIdempotent(true)
            .setTimeoutMillis(TIMEOUT_MILLIS)
            .setBody(BODY);
    world.input(world.entry(node), Input.newBuilder().setCallerRequest(request));
    world.await(() -> world.answer(exchange).isPresent(), TIMEOUT_MILLIS);
    return world.answer(exchange).orElseThrow();
  }
}
