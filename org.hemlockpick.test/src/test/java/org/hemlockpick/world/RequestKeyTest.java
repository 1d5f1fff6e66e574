package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.ByteString;
import java.util.List;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.JobSpec;
import org.hemlockpick.proto.JobSubmit;
import org.junit.jupiter.api.Test;

/** Checks the answers to requests that reuse an idempotency key. */
class RequestKeyTest {
  @Test
  void repetitionElsewhereGetsTheSameAnswerAndRunsNothing() {
    Scenario scenario = started(61);

    CallerAnswer first = ask(scenario, "zone0-0", "top-up-1", "20 JMD#");
    int offers = offers(scenario);
    CallerAnswer second = ask(scenario, "zone1-2", "top-up-1", "20 JMD#");

    assertEquals(ResultCode.DONE.number(), first.getCode());
    assertEquals(ResultCode.DONE.number(), second.getCode());
    assertEquals(first.getBody(), second.getBody());
    assertEquals(offers, offers(scenario));
  }

  @Test
  void keyOfAnotherRequestIsRefused() {
    Scenario scenario = started(62);
    ask(scenario, "zone0-0", "top-up-2", "20 JMD#");
    int offers = offers(scenario);

    CallerAnswer reused = ask(scenario, "zone0-1", "top-up-2", "50 JMD#");

    assertEquals(ResultCode.KEY_REUSED.number(), reused.getCode());
    assertEquals(offers, offers(scenario));
  }

  @Test
  void answerThatWasTooLargeToKeepIsNotGivenInPart() {
    Scenario scenario = started(63);
    String body = "x".repeat(5_000) + "#";
    ask(scenario, "zone0-0", "top-up-3", body);

    CallerAnswer second = ask(scenario, "zone0-1", "top-up-3", body);

    assertEquals(ResultCode.ANSWER_NOT_KEPT.number(), second.getCode());
  }

  @Test
  void startingInstanceRefusesJobsAsNotReady() {
    Scenario scenario = started(65);
    World world = scenario.world;
    world.conditions.cutZones.add("zone0");
    List.of("zone0-0", "zone0-1", "zone0-2").forEach(name -> world.entry(name).kill());
    EntryNode starter = world.entry("zone0-0");
    starter.restart();
    long exchange = scenario.callers.newExchange();
    JobSubmit.Builder submit =
        JobSubmit.newBuilder()
            .setExchange(exchange)
            .setCustomer("orikiri")
            .setKeyDigest(Callers.KEY_DIGEST)
            .setSpec(JobSpec.newBuilder().setName("ribs").setTaskCount(1));
    world.input(starter, Input.newBuilder().setJobSubmit(submit));
    world.time.runFor(1_000);

    assertEquals(ResultCode.NOT_READY.number(), scenario.codeOf(exchange));
  }

  private static Scenario started(long seed) {
    Scenario scenario = new Scenario(seed);
    scenario.startWithContracts();
    return scenario;
  }

  private static CallerAnswer ask(Scenario scenario, String node, String key, String body) {
    World world = scenario.world;
    long exchange = scenario.callers.newExchange();
    CallerRequest.Builder request =
        CallerRequest.newBuilder()
            .setExchange(exchange)
            .setCustomer("lanternhall")
            .setKeyDigest(Callers.KEY_DIGEST)
            .setService("litepay")
            .setIdempotencyKey(key)
            .setBody(ByteString.copyFromUtf8(body));
    world.input(world.entry(node), Input.newBuilder().setCallerRequest(request));
    world.await(() -> world.answer(exchange).isPresent(), 10_000);
    world.time.runFor(1_000);
    return world.answer(exchange).orElseThrow();
  }

  private static int offers(Scenario scenario) {
    return scenario.world.workers.values().stream().mapToInt(worker -> worker.offers).sum();
  }
}
