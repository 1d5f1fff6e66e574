package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.Hashing;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.EvacuationChange;
import org.hemlockpick.proto.Input;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the API for callers over HTTP, on a daemon with a fake loop. */
class CallerApiTest {
  private static final String KEY = "caller-key";
  private static final String OPERATOR_KEY = "operator-key";
  private static final String REQUEST = "/v1/customers/lantern/services/litepay";
  private static final String JOBS = "/v1/customers/lantern/jobs";
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient client = HttpClient.newHttpClient();
  private final FakeLoop loop = new FakeLoop();
  private EntryDaemon daemon;

  @BeforeEach
  void start() throws IOException {
    String digest = Hashing.sha256().hashString(OPERATOR_KEY, StandardCharsets.UTF_8).toString();
    String text = SettingsText.with("ab".repeat(32), digest);
    Settings settings = SettingsReader.read(SettingsText.FILE, text).get();
    daemon =
        EntryDaemon.start(
            settings,
            (own, incarnation, clock, random) -> loop,
            (all, inputs, clock, metrics) -> new NoEffects(),
            event -> {});
  }

  @AfterEach
  void close() {
    daemon.close();
  }

  @Test
  void forwardsARequestAndEmbedsTheJsonAnswer() throws Exception {
    HttpResponse<String> response =
        call(
            "POST",
            REQUEST,
            "{\"idempotent\":true,\"timeoutMillis\":250,\"body\":{\"n\":[1,\"ä\"]}}");

    assertEquals(200, response.statusCode());
    assertEquals(json("{\"n\":[1,\"ä\"]}"), json(response.body()).getJsonObject("body"));
    CallerRequest request = onlyInput().getCallerRequest();
    assertEquals("lantern", request.getCustomer());
    assertEquals("litepay", request.getService());
    assertTrue(request.getIdempotent());
    assertEquals(250, request.getTimeoutMillis());
    String digest = Hashing.sha256().hashString(KEY, StandardCharsets.UTF_8).toString();
    assertEquals(digest, request.getKeyDigest());
  }

  @Test
  void embedsAnswersThatAreNotJson() throws Exception {
    String text = call("POST", "/v1/customers/lantern/services/text", "{}").body();
    String binary = call("POST", "/v1/customers/lantern/services/binary", "{}").body();

    assertEquals("not json", json(text).getString("bodyText"));
    assertEquals("/wA=", json(binary).getString("bodyBase64"));
  }

  @Test
  void refusalContainsTheRetryDelay() throws Exception {
    HttpResponse<String> response = call("POST", "/v1/customers/lantern/services/full", "{}");

    assertEquals(503, response.statusCode());
    assertEquals("2", response.headers().firstValue("Retry-After").orElseThrow());
    assertEquals(1_200, json(response.body()).getInt("retryAfterMillis"));
    assertEquals("OVERLOADED", json(response.body()).getString("result"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "POST   | /v1/customers/lantern/services/litepay | ``                           | 100",
        "POST   | /v1/customers/lantern/services/litepay | nonsense                     | 100",
        "POST   | /v1/customers/lantern/services/litepay | {\"idempotent\":true          | 100",
        "POST   | /v1/customers/lantern/services/litepay | {} {}                        | 100",
        "POST   | /v1/customers/lantern/services/litepay | [1]                          | 100",
        "POST   | /v1/customers/lantern/services/litepay | {\"idempotent\":\"yes\"}     | 100",
        "POST   | /v1/customers/lantern/services/litepay | {\"timeoutMillis\":-1}       | 100",
        "POST   | /v1/customers/lantern/services/litepay | {\"timeoutMillis\":1.5}      | 100",
        "POST   | /v1/customers/lantern/services/litepay | {\"timeoutMillis\":1e400}    | 100",
        "POST   | /v1/customers/lantern/services/litepay | {\"timeoutMilis\":1}         | 100",
        "POST   | /v1/customers/lantern/jobs             | {\"kind\":\"pleat\"}         | 100",
        "POST   | /v1/customers/lantern/jobs             | {\"submissionKey\":\"k\"}    | 100",
        "POST   | /v1/customers/lantern/jobs             |"
            + " {\"submissionKey\":\"k\",\"kind\":\"p\",\"payloadBase64\":\"?\"} | 100",
        "POST   | /v1/customers/lantern/jobs             |"
            + " {\"submissionKey\":\"k\",\"kind\":\"p\",\"taskCount\":3000000000} | 100",
        "GET    | /v1/no-such-path                       | ``                           | 100",
        "GET    | /                                      | ``                           | 100",
        "PATCH  | /v1/customers/lantern/services/litepay | {}                           | 100",
        "GET    | /v1/contracts                          | ``                           | 101",
        "PUT    | /v1/contracts/lantern                  | {}                           | 101",
        "GET    | /v1/status                             | ``                           | 101",
        "POST   | /v1/stop                               | ``                           | 101",
        "PUT    | /v1/evacuations/kgn-b                  | {\"operator\":\"kei\"}       | 101",
        "DELETE | /v1/evacuations/kgn-b?operator=kei     | ``                           | 101",
      })
  void refusesBadInputWithOneNumberedError(String method, String path, String body, int code)
      throws Exception {
    HttpResponse<String> response = call(method, path, body);

    assertEquals(code, json(response.body()).getInt("code"), response.body());
    assertEquals(code == 101 ? 401 : 400, response.statusCode());
    assertTrue(loop.received.isEmpty());
    assertEquals(200, call("POST", REQUEST, "{}").statusCode());
  }

  @Test
  void refusesACallWithoutAKey() throws Exception {
    HttpResponse<String> response = call("POST", REQUEST, "{}", "");

    assertEquals(101, json(response.body()).getInt("code"));
    assertTrue(loop.received.isEmpty());
  }

  @Test
  void refusesABodyThatIsTooLarge() throws Exception {
    HttpResponse<String> response =
        call("POST", REQUEST, "{\"body\":\"" + "x".repeat(9 * 1024 * 1024) + "\"}");

    assertEquals(413, response.statusCode());
    assertEquals(104, json(response.body()).getInt("code"));
    assertTrue(loop.received.isEmpty());
    assertEquals(200, call("POST", REQUEST, "{}").statusCode());
  }

  @Test
  void acceptsABodyOfAnyContentType() throws Exception {
    HttpRequest request =
        builder(REQUEST, KEY)
            .header("Content-Type", "application/x-www-form-urlencoded")
            .POST(HttpRequest.BodyPublishers.ofString("{\"body\":1}"))
            .build();

    String body = client.send(request, HttpResponse.BodyHandlers.ofString()).body();

    assertEquals(1, json(body).getInt("body"));
  }

  @Test
  void submitsAJobWithItsPayload() throws Exception {
    String body =
        "{\"submissionKey\":\"k\",\"kind\":\"pleat\",\"taskCount\":3,\"payload\":{\"ribs\":24}}";

    HttpResponse<String> response = call("POST", JOBS, body);

    assertEquals("job-1", json(response.body()).getJsonObject("job").getString("job"));
    assertEquals("{\"ribs\":24}", onlyInput().getJobSubmit().getSpec().getPayload().toStringUtf8());
  }

  @Test
  void operatorsListAndChangeContracts() throws Exception {
    String contracts = call("GET", "/v1/contracts", "", OPERATOR_KEY).body();
    String change = "{\"baseRevision\":7,\"operator\":\"kei\",\"text\":\"\"}";
    String applied = call("PUT", "/v1/contracts/lantern", change, OPERATOR_KEY).body();

    JsonObject contract = json(contracts).getJsonArray("contracts").getJsonObject(0);
    assertEquals(7, contract.getInt("revision"));
    assertEquals(8, json(applied).getInt("revision"));
  }

  @Test
  void operatorsBeginAndEndEvacuations() throws Exception {
    String path = "/v1/evacuations/kgn-b";

    assertEquals(200, call("PUT", path, "{\"operator\":\"kei\"}", OPERATOR_KEY).statusCode());
    assertEquals(200, call("DELETE", path + "?operator=kei", "", OPERATOR_KEY).statusCode());

    EvacuationChange begun = loop.received.get(0).getEvacuationChange();
    EvacuationChange ended = loop.received.get(1).getEvacuationChange();
    EvacuationChange.Builder change =
        EvacuationChange.newBuilder().setZone("kgn-b").setOperator("kei");
    assertEquals(change.setExchange(begun.getExchange()).build(), begun);
    assertEquals(change.setExchange(ended.getExchange()).setEnd(true).build(), ended);
  }

  @Test
  void evacuationNeedsTheNameOfTheOperator() throws Exception {
    String path = "/v1/evacuations/kgn-b";

    assertEquals(400, call("PUT", path, "{}", OPERATOR_KEY).statusCode());
    assertEquals(400, call("DELETE", path, "", OPERATOR_KEY).statusCode());

    assertTrue(loop.received.isEmpty());
  }

  @Test
  void statusListsEvacuations() throws Exception {
    String body = call("GET", "/v1/status", "", OPERATOR_KEY).body();

    String evacuation =
        "{\"zone\":\"kgn-b\",\"operator\":\"kei\",\"sinceMillis\":5,\"requests\":3,\"tasks\":2}";
    assertEquals(
        json(evacuation),
        json(body).getJsonObject("status").getJsonArray("evacuations").getJsonObject(0));
  }

  @Test
  void reportsADisconnectedCallerToTheLoop() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), daemon.callersPort())) {
      String head =
          "POST /v1/customers/lantern/services/silent HTTP/1.1\r\nHost: localhost\r\n"
              + "X-Hemlockpick-Key: k\r\nContent-Length: 2\r\n\r\n{}";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      await(() -> loop.received.stream().anyMatch(Input::hasCallerRequest));
    }

    await(() -> loop.received.stream().anyMatch(Input::hasCallerGone));
    assertEquals(
        loop.received.get(0).getCallerRequest().getExchange(),
        loop.received.get(1).getCallerGone().getExchange());
  }

  @Test
  void reportsHealthReadinessAndMetrics() throws Exception {
    await(() -> daemon.isReady());
    assertEquals(200, call("GET", "/v1/health", "").statusCode());
    assertEquals(200, call("GET", "/v1/ready", "").statusCode());
    call("POST", REQUEST, "{}");

    JsonObject metrics = json(call("GET", "/v1/metrics", "").body());

    assertEquals(1, metrics.getInt("requests.DONE"));
    assertEquals(1, metrics.getJsonObject("request.latency.micros").getInt("count"));
    assertTrue(metrics.getJsonNumber("memory.heap.bytes").longValue() > 0);
  }

  @Test
  void endsWhenThePlannedStopIsComplete() throws Exception {
    assertEquals(200, call("POST", "/v1/stop", "", OPERATOR_KEY).statusCode());
    daemon.ended().join();

    HttpResponse<String> response = call("GET", "/v1/ready", "");

    assertEquals(503, response.statusCode());
    assertEquals("STOPPING", json(response.body()).getString("result"));
  }

  /** A caller with an open connection may send its next request while the process stops. */
  @Test
  void tellsCallersForAWhileThatItStops() throws Exception {
    call("POST", REQUEST, "{}");
    Thread stop = new Thread(daemon::stop);
    stop.start();
    daemon.ended().join();
    long until = System.nanoTime() + Duration.ofMillis(100).toNanos();
    while (System.nanoTime() < until) {
      JsonObject answer = json(call("POST", REQUEST, "{}").body());
      assertEquals("STOPPING", answer.getString("result"));
    }
    stop.join();
  }

  /**
   * Guards against a call that is still served after the end of the stop is known. The call is made
   * on the thread that completes the stop, before anything else can follow.
   */
  @Test
  void refusesCallsBeforeTheEndOfTheStopIsKnown() throws Exception {
    HttpRequest request =
        builder(REQUEST, KEY).POST(HttpRequest.BodyPublishers.ofString("{}")).build();
    var answer =
        daemon
            .ended()
            .thenApply(
                none ->
                    client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join().body());
    daemon.beginStop();
    assertEquals("STOPPING", json(answer.get()).getString("result"));
  }

  @Test
  void endsWhenATickThrows() {
    var unused =
        client.sendAsync(
            builder("/v1/customers/lantern/services/broken", KEY)
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build(),
            HttpResponse.BodyHandlers.ofString());

    assertThrows(CompletionException.class, () -> daemon.ended().join());
    await(() -> !daemon.isReady());
  }

  @Test
  void answersPendingExchangesOnClose() throws Exception {
    var pending =
        client.sendAsync(
            builder("/v1/customers/lantern/services/silent", KEY)
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build(),
            HttpResponse.BodyHandlers.ofString());
    await(() -> !loop.received.isEmpty());
    assertFalse(pending.isDone());

    daemon.close();

    assertEquals("OUTCOME_UNKNOWN", json(pending.get().body()).getString("result"));
  }

  private Input onlyInput() {
    assertEquals(1, loop.received.size());
    return loop.received.get(0);
  }

  private HttpResponse<String> call(String method, String path, String body) throws Exception {
    return call(method, path, body, KEY);
  }

  private HttpResponse<String> call(String method, String path, String body, String key)
      throws Exception {
    HttpRequest request =
        builder(path, key).method(method, HttpRequest.BodyPublishers.ofString(body)).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest.Builder builder(String path, String key) {
    URI uri = URI.create("http://127.0.0.1:" + daemon.callersPort() + path);
    HttpRequest.Builder request = HttpRequest.newBuilder(uri).timeout(TIMEOUT);
    return key.isEmpty() ? request : request.header(ApiKeys.HEADER, key);
  }

  private static JsonObject json(String text) {
    return Json.createReader(new StringReader(text)).readObject();
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "the condition did not come true");
      Thread.onSpinWait();
    }
  }
}
