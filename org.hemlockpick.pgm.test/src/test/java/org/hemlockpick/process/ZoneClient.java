package org.hemlockpick.process;

import jakarta.json.Json;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.hemlockpick.errors.ResultCode;

/** Sends calls of customers and operators to entry instances. */
final class ZoneClient {
  static final String CUSTOMER = "lantern";
  static final String CUSTOMER_KEY = "process-customer";
  static final String OPERATOR_KEY = "process-operator";

  private static final String REQUESTS = "/v1/customers/" + CUSTOMER + "/services/litepay";
  private static final String JOBS = "/v1/customers/" + CUSTOMER + "/jobs";
  private static final Duration TIMEOUT = Duration.ofSeconds(45);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  /**
   * Sends a request; a non-idempotent one has its label as idempotency key.
   *
   * @param sleepMillis time that the worker needs
   * @throws IOException if there is no complete response
   */
  Answer request(int port, String label, boolean idempotent, int sleepMillis)
      throws IOException, InterruptedException {
    JsonObject call =
        Json.createObjectBuilder()
            .add("idempotent", idempotent)
            .add("body", body(label, sleepMillis))
            .build();
    HttpRequest.Builder request = to(port, REQUESTS, CUSTOMER_KEY).POST(text(call));
    if (!idempotent) {
      request.header("Idempotency-Key", label);
    }
    return send(request);
  }

  /** Submits a job. */
  Answer submit(int port, String key, int tasks, int runMillis)
      throws IOException, InterruptedException {
    JsonObject spec =
        Json.createObjectBuilder()
            .add("submissionKey", key)
            .add("kind", "pleat")
            .add("taskCount", tasks)
            .add("cpuMillis", 1_000)
            .add("memoryMb", 100)
            .add("declaredRunMillis", runMillis)
            .add("payload", Json.createObjectBuilder().add("runMillis", runMillis))
            .build();
    return send(to(port, JOBS, CUSTOMER_KEY).POST(text(spec)));
  }

  Answer job(int port, String job) throws IOException, InterruptedException {
    return send(to(port, JOBS + "/" + job, CUSTOMER_KEY));
  }

  Answer operatorGet(int port, String path) throws IOException, InterruptedException {
    return send(to(port, path, OPERATOR_KEY));
  }

  /** Changes the contract of the customer. */
  Answer change(int port, long baseRevision, String contract)
      throws IOException, InterruptedException {
    JsonObject change =
        Json.createObjectBuilder()
            .add("baseRevision", baseRevision)
            .add("operator", "port-" + port)
            .add("text", contract)
            .build();
    return send(to(port, "/v1/contracts/" + CUSTOMER, OPERATOR_KEY).PUT(text(change)));
  }

  /** Sets the faults of a stand-in at an address of the form http://host:port/prefix. */
  void setFaults(String address, String faults) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(address + "/v1/faults"))
            .POST(BodyPublishers.ofString(faults))
            .build();
    HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
    if (response.statusCode() != 200) {
      throw new AssertionError(response.body());
    }
  }

  private Answer send(HttpRequest.Builder request) throws IOException, InterruptedException {
    HttpResponse<String> response = client.send(request.build(), BodyHandlers.ofString());
    JsonObject json = JsonLines.parse(response.body());
    return new Answer(ResultCode.of(json.getInt("code")), json);
  }

  private static JsonObjectBuilder body(String label, int sleepMillis) {
    return Json.createObjectBuilder().add("label", label).add("sleepMillis", sleepMillis);
  }

  private static HttpRequest.Builder to(int port, String path, String key) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .timeout(TIMEOUT)
        .header("X-Hemlockpick-Key", key);
  }

  private static HttpRequest.BodyPublisher text(JsonObject json) {
    return BodyPublishers.ofString(json.toString());
  }
}
