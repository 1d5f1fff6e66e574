package org.hemlockpick.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.BlobPut;
import org.hemlockpick.proto.Event;
import org.hemlockpick.proto.InstanceList;
import org.hemlockpick.proto.InstanceRole;
import org.hemlockpick.proto.LeaseCall;
import org.hemlockpick.proto.LeaseReply;
import org.hemlockpick.proto.ListedInstance;
import org.hemlockpick.proto.RequestCall;
import org.hemlockpick.proto.RequestReply;
import org.hemlockpick.proto.RequestResult;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskReply;
import org.hemlockpick.proto.TaskStartCall;
import org.hemlockpick.proto.TaskStatus;
import org.hemlockpick.proto.TaskStopCall;
import org.hemlockpick.transport.Eventually;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StandInsTest {
  private static final String WORKER = "/workers/kgn-a-w0";
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final StandIns standIns = new StandIns(StandInSettings.all(List.of("kgn-a", "kgn-b"), 2));
  private final HttpClient client = HttpClient.newHttpClient();
  private long heldEpoch;

  @AfterEach
  void closeAll() {
    standIns.close();
  }

  @Test
  void workersRegisterInTheInstanceList() throws Exception {
    awaitWorkers(4);

    ListedInstance worker = list().getInstances(0);

    assertEquals("kgn-a-w0", worker.getName());
    assertEquals("kgn-a", worker.getZone());
    assertEquals(InstanceRole.WORKER, worker.getRole());
    assertEquals(standIns.workerAddress("kgn-a-w0"), worker.getAddress());
  }

  @Test
  void aWorkerMarkedAsLeavingRefusesNewWork() throws Exception {
    awaitWorkers(4);
    long epoch = lease().getEpoch();

    assertEquals(
        200, post(StandIns.LIST_PREFIX + "/v1/instances/kgn-a-w0/leaving", "").statusCode());

    Eventually.holds(() -> lease().getLeaving(), () -> "the worker leaves");
    assertEquals(RequestResult.REFUSED_LEAVING, request(epoch, 1, "{}").getResult());
    assertTrue(list().getInstances(0).getLeaving());
  }

  @Test
  void aRequestIsEchoedFailsOrSleepsAsItsBodySpecifies() {
    long epoch = lease().getEpoch();

    RequestReply echoed = request(epoch, 1, "{\"top-up\":5}");
    RequestReply failed = request(epoch, 2, "{\"fail\":true}");
    RequestReply slept = request(epoch, 3, "{\"sleepMillis\":30}");

    assertEquals(RequestResult.REQUEST_DONE, echoed.getResult());
    assertTrue(echoed.getBody().toStringUtf8().contains("kgn-a-w0"));
    assertTrue(echoed.getBody().toStringUtf8().contains("top-up"));
    assertEquals(RequestResult.REQUEST_FAILED, failed.getResult());
    assertEquals(RequestResult.REQUEST_DONE, slept.getResult());
  }

  @Test
  void aTaskRunsAsItsPayloadSpecifies() {
    long epoch = lease().getEpoch();
    put("p-ok", "{\"runMillis\":100}");
    put("p-bad", "{\"runMillis\":100,\"fail\":true}");

    start(epoch, 1, "p-ok", "");
    start(epoch, 2, "p-bad", "");

    awaitPhase(1, TaskPhase.TASK_DONE);
    awaitPhase(2, TaskPhase.TASK_FAILED);
  }

  @Test
  void aTaskResumesFromItsCheckpoint() {
    long epoch = lease().getEpoch();
    put("p", "{\"runMillis\":3600000}");
    start(epoch, 1, "p", "");
    Eventually.holds(() -> !task(1).getCheckpoint().isEmpty(), () -> "a checkpoint");

    TaskStopCall stop =
        TaskStopCall.newBuilder()
            .setEpoch(epoch)
            .setBoot(lease().getBoot())
            .setTask(ref(1))
            .build();
    TaskReply stopped = send(WORKER + "/v1/tasks/stop", stop, TaskReply.newBuilder()).build();
    assertEquals(TaskPhase.TASK_STOPPED, stopped.getStatus().getPhase());
    long progress = CheckpointKeys.progressMillis(stopped.getStatus().getCheckpoint());
    assertTrue(progress > 0);

    start(epoch, 2, "p", "checkpoints/j/2/1/3599990");
    awaitPhase(2, TaskPhase.TASK_DONE);
  }

  @Test
  void faultsAreSetAndResetOverHttp() throws Exception {
    String faults = WORKER + "/v1/faults";

    post(faults, "{\"down\":true}");
    assertEquals(503, post(WORKER + "/v1/lease", "{}").statusCode());
    post(faults, "{}");
    assertEquals(200, post(WORKER + "/v1/lease", "{}").statusCode());

    assertEquals(400, post(faults, "{\"upside-down\":true}").statusCode());
    assertEquals(400, post(faults, "{\"delayMillis\":-1}").statusCode());
    assertEquals(400, post(faults, "{\"down\":1}").statusCode());
    assertEquals(
        200, post(StandIns.LIST_PREFIX + "/v1/instances", "{\"name\":\"x\"}").statusCode());
  }

  @Test
  void badInputIsAnsweredWithOneError() throws Exception {
    assertError(400, post(WORKER + "/v1/lease", "not JSON"));
    assertError(400, post(StandIns.TABLE_PREFIX + "/v1/calls", "{}"));
    assertError(400, post(StandIns.OBJECTS_PREFIX + "/v1/calls", "[1]"));
    assertError(404, post("/nowhere", "{}"));
    assertError(404, post(WORKER + "/v2/lease", "{}"));
    assertError(404, get("/"));
    assertError(413, post(WORKER + "/v1/lease", "x".repeat(17 * 1024 * 1024)));
    HttpRequest delete = to(WORKER + "/v1/lease").DELETE().build();
    assertError(405, client.send(delete, BodyHandlers.ofString()));
  }

  @Test
  void clocksOnlyIncrease() throws Exception {
    HttpRequest request =
        to(StandIns.LIST_PREFIX + "/v1/instances").header("X-Hemlockpick-Clock", "1000000").build();

    long first = clock(client.send(request, BodyHandlers.ofString()));
    long second = clock(get(StandIns.LIST_PREFIX + "/v1/instances"));

    assertTrue(first > 1_000_000);
    assertTrue(second > first);
  }

  @Test
  void eventsAreWrittenAsJsonLines() throws Exception {
    List<String> lines = new CopyOnWriteArrayList<>();
    Logger logger = Logger.getLogger(Timeline.LOGGER);
    Handler handler = new LineHandler(lines);
    Level before = logger.getLevel();
    logger.setLevel(Level.INFO);
    logger.addHandler(handler);

    lease();
    logger.removeHandler(handler);
    logger.setLevel(before);

    Event.Builder event = Event.newBuilder();
    for (String line : lines) {
      JsonFormat.parser().merge(line, event.clear());
      if (event.getKind().equals("lease-asked")) {
        break;
      }
    }
    assertEquals("lease-asked", event.getKind());
    assertEquals("kgn-a-w0", event.getInstance());
    assertTrue(event.getClock() > 0);
  }

  @Test
  void standInsRunInSeparateServers(@TempDir Path dir) throws IOException {
    Path file = Files.writeString(dir.resolve("workers.toml"), workerSettings());

    try (StandIns workers = new StandIns(StandInSettings.read(file))) {
      awaitWorkers(4 + 3);
      assertTrue(workers.workers().containsKey("mbj-a-w2"));
    }
    int[] before = {list().getInstancesCount()};
    assertEquals(7, before[0]);
    Eventually.holds(() -> list().getInstancesCount() == 4, () -> "the list forgets the workers");
  }

  @Test
  void concurrentRequestsRunOrAreRefusedAsFull() {
    long epoch = lease().getEpoch();

    List<RequestResult> results =
        IntStream.rangeClosed(1, 12)
            .parallel()
            .mapToObj(i -> request(epoch, i, "{\"sleepMillis\":100}").getResult())
            .toList();

    assertTrue(
        results.stream()
            .allMatch(
                result ->
                    result == RequestResult.REQUEST_DONE || result == RequestResult.REFUSED_FULL));
  }

  private String workerSettings() {
    return String.join(
        "\n",
        "roles = [\"workers\"]",
        "zones = [\"mbj-a\"]",
        "workers_per_zone = 3",
        "list = \"" + standIns.listAddress() + "\"",
        "objects = \"" + standIns.objectsAddress() + "\"",
        "[capacity]",
        "slots = 2");
  }

  private void awaitWorkers(int count) {
    Eventually.holds(() -> list().getInstancesCount() == count, () -> count + " workers listed");
  }

  private void awaitPhase(int index, TaskPhase phase) {
    Eventually.holds(() -> task(index).getPhase() == phase, () -> "task " + index + " " + phase);
  }

  private InstanceList list() {
    return parse(get(StandIns.LIST_PREFIX + "/v1/instances"), InstanceList.newBuilder()).build();
  }

  /** Acquires the lease on the first call and renews it on later ones. */
  private LeaseReply lease() {
    LeaseCall call =
        LeaseCall.newBuilder()
            .setOwner("e1")
            .setIncarnation(1)
            .setTtlMillis(60_000)
            .setEpoch(heldEpoch)
            .build();
    LeaseReply reply = send(WORKER + "/v1/lease", call, LeaseReply.newBuilder()).build();
    heldEpoch = reply.getEpoch();
    return reply;
  }

  private TaskStatus task(int index) {
    return lease().getTasksList().stream()
        .filter(status -> status.getTask().equals(ref(index)))
        .findFirst()
        .orElseThrow();
  }

  private RequestReply request(long epoch, long sequence, String body) {
    RequestCall call =
        RequestCall.newBuilder()
            .setEpoch(epoch)
            .setSequence(sequence)
            .setBody(ByteString.copyFromUtf8(body))
            .build();
    return send(WORKER + "/v1/requests", call, RequestReply.newBuilder()).build();
  }

  private void start(long epoch, int index, String payload, String checkpoint) {
    TaskStartCall call =
        TaskStartCall.newBuilder()
            .setEpoch(epoch)
            .setBoot(lease().getBoot())
            .setTask(ref(index))
            .setPayload(payload)
            .setCheckpoint(checkpoint)
            .build();
    assertTrue(send(WORKER + "/v1/tasks/start", call, TaskReply.newBuilder()).getAccepted());
  }

  private void put(String key, String value) {
    BlobPut put = BlobPut.newBuilder().setKey(key).setValue(ByteString.copyFromUtf8(value)).build();
    String json = MessageJson.print(BlobCall.newBuilder().setPut(put));
    assertEquals(200, post(StandIns.OBJECTS_PREFIX + "/v1/calls", json).statusCode());
  }

  private <B extends Message.Builder> B send(String path, MessageOrBuilder call, B reply) {
    return parse(post(path, MessageJson.print(call)), reply);
  }

  private static <B extends Message.Builder> B parse(HttpResponse<String> response, B reply) {
    assertEquals(200, response.statusCode(), response::body);
    return MessageJson.merge(response.body(), reply);
  }

  private HttpResponse<String> post(String path, String body) {
    return exchange(to(path).POST(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  private HttpResponse<String> get(String path) {
    return exchange(to(path).build());
  }

  private HttpResponse<String> exchange(HttpRequest request) {
    try {
      return client.send(request, BodyHandlers.ofString());
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private HttpRequest.Builder to(String path) {
    URI uri = URI.create("http://127.0.0.1:" + standIns.server().port() + path);
    return HttpRequest.newBuilder(uri).version(HttpClient.Version.HTTP_1_1).timeout(TIMEOUT);
  }

  private static long clock(HttpResponse<String> response) {
    return response.headers().firstValueAsLong("X-Hemlockpick-Clock").orElseThrow();
  }

  private static void assertError(int status, HttpResponse<String> response) {
    assertEquals(status, response.statusCode(), response::body);
    assertTrue(response.body().startsWith("{\"error\":\""), response::body);
  }

  private static TaskRef ref(int index) {
    return TaskRef.newBuilder().setJob("j").setIndex(index).setAttempt(1).build();
  }

  private static final class LineHandler extends Handler {
    private final List<String> lines;

    LineHandler(List<String> lines) {
      this.lines = lines;
    }

    @Override
    public void publish(LogRecord logged) {
      lines.add(logged.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
