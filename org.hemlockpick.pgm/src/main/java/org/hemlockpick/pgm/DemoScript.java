package org.hemlockpick.pgm;

import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Sends requests and a job to a zone and prints the results. */
final class DemoScript {
  private static final String CUSTOMER = "lantern";
  private static final String CUSTOMER_KEY = "demo-customer";
  private static final String REQUESTS = "/v1/customers/" + CUSTOMER + "/services/litepay";
  private static final String JOBS = "/v1/customers/" + CUSTOMER + "/jobs";
  private static final int TASKS = 4;
  private static final int TASK_RUN_MILLIS = 300;
  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private final DemoZone zone;
  private final Console console;
  private final Set<TimelineEntry> shown = new HashSet<>();

  DemoScript(DemoZone zone, Console console) {
    this.zone = zone;
    this.console = console;
  }

  /**
   * Runs all steps of the demo.
   *
   * @throws IOException if a step does not have the expected result
   */
  void run() throws IOException, InterruptedException {
    await(zone::isReady, Messages.DEMO_READY);
    showEvents(Messages.DEMO_STARTED);
    applyContract();
    sendIdempotentRequest();
    sendNonIdempotentRequestTwice();
    runJob();
  }

  private void applyContract() throws IOException, InterruptedException {
    JsonObject change =
        Json.createObjectBuilder()
            .add("baseRevision", 0)
            .add("operator", "demo")
            .add("text", contract())
            .build();
    try (ApiClient client = zone.client(0, DemoZone.OPERATOR_KEY)) {
      ApiResults.requireDone(client.put("/v1/contracts/" + CUSTOMER, change));
    }
    for (int i = 0; i < zone.size(); i++) {
      awaitContract(i);
    }
    showEvents(Messages.DEMO_CONTRACT);
  }

  private void awaitContract(int index) throws IOException, InterruptedException {
    try (ApiClient client = zone.client(index, DemoZone.OPERATOR_KEY)) {
      await(
          () -> !client.get("/v1/contracts").getJsonArray("contracts").isEmpty(),
          Messages.DEMO_IN_FORCE);
    }
  }

  private void sendIdempotentRequest() throws IOException, InterruptedException {
    JsonObject request = request(true, "lamp");
    try (ApiClient client = zone.client(1, CUSTOMER_KEY)) {
      JsonObject answer = awaitDone(() -> client.post(REQUESTS, request));
      console.out().println(answer);
    }
    showEvents(Messages.DEMO_IDEMPOTENT);
  }

  private void sendNonIdempotentRequestTwice() throws IOException {
    JsonObject request = request(false, "top-up");
    long sentBefore = requestsSent();
    JsonObject first = post(0, request);
    JsonObject second = post(2, request);
    console.out().println(first);
    console.out().println(second);
    if (!first.equals(second)) {
      throw new IOException(Messages.DEMO_ANSWERS_DIFFER);
    }
    if (requestsSent() != sentBefore + 1) {
      throw new IOException(Messages.DEMO_RAN_AGAIN);
    }
    showEvents(Messages.DEMO_REPEATED);
  }

  private long requestsSent() {
    return zone.timeline().stream()
        .filter(entry -> entry.event().getKind().equals("request-sent"))
        .count();
  }

  private JsonObject post(int index, JsonObject request) throws IOException {
    try (ApiClient client = zone.client(index, CUSTOMER_KEY)) {
      return ApiResults.requireDone(client.post(REQUESTS, request, "top-up-1"));
    }
  }

  private void runJob() throws IOException, InterruptedException {
    JsonObject spec =
        Json.createObjectBuilder()
            .add("submissionKey", "demo-job")
            .add("name", "pleats")
            .add("kind", "pleat")
            .add("taskCount", TASKS)
            .add("cpuMillis", 1_000)
            .add("memoryMb", 100)
            .add("declaredRunMillis", TASK_RUN_MILLIS)
            .add("payload", Json.createObjectBuilder().add("runMillis", TASK_RUN_MILLIS))
            .build();
    try (ApiClient client = zone.client(0, CUSTOMER_KEY)) {
      JsonObject submitted = ApiResults.requireDone(client.post(JOBS, spec));
      String job = submitted.getJsonObject("job").getString("job");
      await(() -> doneTasks(client, job) == TASKS, Messages.DEMO_JOB_DONE);
      console.out().println(client.get(JOBS + "/" + job));
    }
    showEvents(Messages.DEMO_JOB);
  }

  private static int doneTasks(ApiClient client, String job) throws IOException {
    JsonObject answer = client.get(JOBS + "/" + job);
    return ApiResults.isDone(answer) ? answer.getJsonObject("job").getInt("done") : 0;
  }

  /** Retries a call until it is done, as the zone may not be ready for it yet. */
  private static JsonObject awaitDone(Call call) throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    JsonObject answer = call.send();
    while (!ApiResults.isDone(answer) && System.nanoTime() < deadline) {
      Thread.sleep(POLL_INTERVAL.toMillis());
      answer = call.send();
    }
    return ApiResults.requireDone(answer);
  }

  private static void await(Condition condition, String goal)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.holds()) {
      if (System.nanoTime() >= deadline) {
        throw new IOException(Messages.demoTimeout(goal));
      }
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  private void showEvents(String title) {
    console.out().println("== " + title);
    List<TimelineEntry> newEntries = zone.timeline().stream().filter(shown::add).toList();
    newEntries.forEach(console.out()::println);
  }

  private static JsonObject request(boolean idempotent, String purpose) {
    return Json.createObjectBuilder()
        .add("idempotent", idempotent)
        .add("timeoutMillis", 2_000)
        .add("body", Json.createObjectBuilder().add("purpose", purpose))
        .build();
  }

  private static String contract() {
    return """
    customer = "%s"

    [keys]
    sha256 = ["%s"]

    [requests]
    in-flight = 30
    per-second = 300

    [services.litepay]
    timeout = "2 s"
    target = "200 ms"

    [batch]
    tasks = 60
    job-tasks = 20
    deadline = "1 h"
    """
        .formatted(CUSTOMER, Digests.sha256(CUSTOMER_KEY));
  }

  /** Sends one call. */
  @FunctionalInterface
  private interface Call {
    JsonObject send() throws IOException;
  }

  /** A condition to wait for. */
  @FunctionalInterface
  private interface Condition {
    boolean holds() throws IOException;
  }
}
