package org.hemlockpick.standin;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.HttpClientConfiguration;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Calls other stand-ins over HTTP. */
final class PlatformClient implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient client = HttpClient.create(null, settings());

  /** Posts JSON and returns the body of the answer. Fails if no answer with status 200 arrives. */
  CompletableFuture<String> post(String address, String path, String json) {
    URI uri = URI.create("http://" + address + path);
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    HttpRequest<?> request =
        HttpRequest.POST(uri, body)
            .contentType(MediaType.APPLICATION_JSON_TYPE)
            .accept(MediaType.APPLICATION_JSON_TYPE);
    ResponseSubscriber result = new ResponseSubscriber();
    client.retrieve(request, byte[].class).subscribe(result);
    return result.future;
  }

  @Override
  public void close() {
    client.close();
  }

  private static HttpClientConfiguration settings() {
    HttpClientConfiguration settings = new DefaultHttpClientConfiguration();
    settings.setNumOfThreads(1);
    settings.setReadTimeout(TIMEOUT);
    settings.setConnectTimeout(TIMEOUT);
    settings.setFollowRedirects(false);
    return settings;
  }

  private static final class ResponseSubscriber implements Subscriber<byte[]> {
    final CompletableFuture<String> future = new CompletableFuture<>();

    @Override
    public void onSubscribe(Subscription subscription) {
      subscription.request(1);
    }

    @Override
    public void onNext(byte[] body) {
      future.complete(new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public void onError(Throwable thrown) {
      future.completeExceptionally(thrown);
    }

    @Override
    public void onComplete() {
      future.complete("");
    }
  }
}
