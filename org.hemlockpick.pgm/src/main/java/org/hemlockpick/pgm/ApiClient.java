package org.hemlockpick.pgm;

import static io.micronaut.core.type.Argument.STRING;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.BlockingHttpClient;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import java.io.IOException;
import java.io.StringReader;
import java.net.URI;
import java.time.Duration;

/** Client of the HTTP API of an entry instance. */
final class ApiClient implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String KEY_HEADER = "X-Hemlockpick-Key";

  private final URI url;
  private final String key;
  private final HttpClient client;
  private final BlockingHttpClient blocking;

  /**
   * Creates a client; it connects at the first call.
   *
   * @param url caller address of an entry instance
   * @param key key of the operator or the customer
   * @throws IOException if the URL is malformed
   */
  ApiClient(URI url, String key) throws IOException {
    this.url = url;
    this.key = key;
    DefaultHttpClientConfiguration settings = new DefaultHttpClientConfiguration();
    settings.setReadTimeout(TIMEOUT);
    client = HttpClient.create(url.toURL(), settings);
    blocking = client.toBlocking();
  }

  /**
   * Sends a GET request.
   *
   * @throws IOException if no complete answer arrives
   */
  JsonObject get(String path) throws IOException {
    return send(HttpRequest.GET(path));
  }

  /**
   * Sends a POST request.
   *
   * @throws IOException if no complete answer arrives
   */
  JsonObject post(String path, JsonObject body) throws IOException {
    return send(HttpRequest.POST(path, body.toString()));
  }

  /**
   * Sends a POST request with an idempotency key.
   *
   * @throws IOException if no complete answer arrives
   */
  JsonObject post(String path, JsonObject body, String idempotencyKey) throws IOException {
    return send(HttpRequest.POST(path, body.toString()).header("Idempotency-Key", idempotencyKey));
  }

  /**
   * Sends a PUT request.
   *
   * @throws IOException if no complete answer arrives
   */
  JsonObject put(String path, JsonObject body) throws IOException {
    return send(HttpRequest.PUT(path, body.toString()));
  }

  /**
   * Sends a DELETE request.
   *
   * @throws IOException if no complete answer arrives
   */
  JsonObject delete(String path) throws IOException {
    return send(HttpRequest.DELETE(path));
  }

  @Override
  public void close() {
    client.close();
  }

  private JsonObject send(MutableHttpRequest<?> request) throws IOException {
    try {
      return parse(blocking.exchange(request.header(KEY_HEADER, key), STRING, STRING));
    } catch (HttpClientResponseException e) {
      return parse(e.getResponse());
    } catch (HttpClientException e) {
      throw noAnswer(e);
    }
  }

  private JsonObject parse(HttpResponse<?> response) throws IOException {
    String text = response.getBody(String.class).orElse("");
    try (JsonReader reader = Json.createReader(new StringReader(text))) {
      return reader.readObject();
    } catch (JsonException e) {
      throw noAnswer(e);
    }
  }

  private IOException noAnswer(RuntimeException e) {
    return new IOException(Messages.noAnswer(url.toString(), String.valueOf(e.getMessage())), e);
  }
}
