package org.hemlockpick.transport.http;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.net.ConnectException;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.channels.UnresolvedAddressException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.hemlockpick.proto.CallFate;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Sends calls to one address and reports the result of each; never sends a call twice. */
public final class HttpEndpoint {
  private static final Argument<byte[]> BYTES = Argument.of(byte[].class);

  /** Maximum number of causes that are followed to the root cause of a failure. */
  private static final int MAX_CAUSES = 16;

  private final HttpTransport transport;
  private final String address;
  private final int maxInFlight;

  private ConnectionPool pool;
  private int inFlight;

  /**
   * Creates an endpoint without connections.
   *
   * @param transport transport that all endpoints share
   * @param address IP address and port; a host name is looked up on the transport's thread, where a
   *     slow lookup delays all calls
   * @param maxInFlight limit on the calls in flight and so on the open connections
   */
  public HttpEndpoint(HttpTransport transport, String address, int maxInFlight) {
    this.transport = transport;
    this.address = address;
    this.maxInFlight = maxInFlight;
    this.pool = new ConnectionPool(transport.newClient(maxInFlight));
  }

  String address() {
    return address;
  }

  /** Makes the next call use a new connection; calls in flight keep theirs. */
  void reset() {
    ConnectionPool old;
    synchronized (this) {
      old = pool;
      pool = new ConnectionPool(transport.newClient(maxInFlight));
    }
    old.retire();
  }

  /** Closes the connections once the calls in flight have ended. */
  public void close() {
    pool().retire();
  }

  /** Sends a call; the handler is called once, on any thread. */
  public void send(HttpCall call, Consumer<HttpResult> handler) {
    MutableHttpRequest<byte[]> request;
    try {
      request = request(call);
    } catch (IllegalArgumentException e) {
      reject(call, "no request: " + e.getMessage(), handler);
      return;
    }
    ConnectionPool usedPool = acquirePool();
    if (usedPool == null) {
      reject(call, maxInFlight + " calls are in flight", handler);
      return;
    }
    new InFlightCall(usedPool, call, handler).start(request);
  }

  /** Creates the request of a call; throws if its address or a header is malformed. */
  private MutableHttpRequest<byte[]> request(HttpCall call) {
    URI uri = URI.create("http://" + address + call.path());
    MutableHttpRequest<byte[]> request =
        HttpRequest.create(HttpMethod.valueOf(call.method().name()), uri.toString());
    if (call.body().length > 0) {
      request.body(call.body()).contentType(MediaType.APPLICATION_JSON_TYPE);
    }
    request.accept(MediaType.APPLICATION_JSON_TYPE);
    call.headers().forEach(request::header);
    return request;
  }

  private void reject(HttpCall call, String reason, Consumer<HttpResult> handler) {
    transport.failures().onFailed(address, call, CallFate.NOT_SENT, reason);
    handler.accept(HttpResult.notSent());
  }

  private synchronized @Nullable ConnectionPool acquirePool() {
    if (inFlight >= maxInFlight) {
      return null;
    }
    inFlight++;
    pool.acquire();
    return pool;
  }

  private void release(ConnectionPool usedPool) {
    synchronized (this) {
      inFlight--;
    }
    usedPool.release();
  }

  private synchronized ConnectionPool pool() {
    return pool;
  }

  private void resetUnlessReplaced(ConnectionPool usedPool) {
    if (pool() == usedPool) {
      reset();
    }
  }

  private static HttpResult result(HttpResponse<?> response) {
    byte[] body = response.getBody(BYTES).orElse(null);
    return new HttpResult(
        CallFate.ANSWERED,
        response.code(),
        body == null ? new byte[0] : body,
        HttpTransport.clock(response.getHeaders()));
  }

  /** Converts a failure to a result; only a failure to connect proves that no byte was sent. */
  private static HttpResult failure(Throwable thrown) {
    for (Throwable t = thrown; t != null; t = t.getCause()) {
      if (t instanceof ConnectException
          || t instanceof UnknownHostException
          || t instanceof UnresolvedAddressException) {
        return HttpResult.notSent();
      }
    }
    return HttpResult.lost();
  }

  /** Returns a throwable and its root cause as a short text. */
  private static String reason(Throwable thrown) {
    Throwable root = thrown;
    for (int i = 0; root.getCause() != null && i < MAX_CAUSES; i++) {
      root = root.getCause();
    }
    return root == thrown ? thrown.toString() : thrown + ", caused by " + root;
  }

  /** A call in flight, from its sending to its only result. */
  private final class InFlightCall
      implements Subscriber<HttpResponse<byte[]>>, ResponseAssembler.Listener {
    private final ConnectionPool usedPool;
    private final HttpCall call;
    private final Consumer<HttpResult> handler;
    private final AtomicBoolean completed = new AtomicBoolean();
    private volatile @Nullable Subscription subscription;
    private volatile @Nullable Future<?> timeout;
    private volatile long lastReadNanos = System.nanoTime();

    InFlightCall(ConnectionPool usedPool, HttpCall call, Consumer<HttpResult> handler) {
      this.usedPool = usedPool;
      this.call = call;
      this.handler = handler;
    }

    void start(MutableHttpRequest<?> request) {
      long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(call.timeoutMillis());
      transport.loop().execute(() -> send(request, deadline));
    }

    /** Sends the request, unless its timeout has expired before the loop runs this. */
    private void send(MutableHttpRequest<?> request, long deadlineNanos) {
      long remainingNanos = deadlineNanos - System.nanoTime();
      if (remainingNanos <= 0) {
        abandon();
        return;
      }
      timeout =
          transport
              .loop()
              .schedule(this::checkTimeoutAfterRead, remainingNanos, TimeUnit.NANOSECONDS);
      switch (call.timeoutScope()) {
        case TOTAL -> usedPool.client().exchange(request, BYTES, BYTES).subscribe(this);
        case IDLE ->
            usedPool
                .client()
                .exchangeStream(request, BYTES)
                .subscribe(new ResponseAssembler(HttpTransport.MAX_RESPONSE_BYTES, this));
      }
    }

    @Override
    public void onSubscribe(Subscription started) {
      subscription = started;
      started.request(1);
    }

    @Override
    public void onNext(HttpResponse<byte[]> response) {
      complete(result(response));
    }

    @Override
    public void onChunk() {
      lastReadNanos = System.nanoTime();
    }

    @Override
    public void onResponse(HttpResult result) {
      complete(result);
    }

    @Override
    public void onError(Throwable thrown) {
      if (thrown instanceof HttpClientResponseException refused) {
        // The client throws for every status that is not a success and does not distinguish errors.
        complete(result(refused.getResponse()));
        return;
      }
      completeFailed(failure(thrown), reason(thrown));
    }

    @Override
    public void onComplete() {
      completeFailed(HttpResult.lost(), "the connection closed without a response");
    }

    /**
     * Lets the loop read once more before the timeout is checked: the response may have arrived
     * while the loop was busy with other connections. A task scheduled now runs after that read.
     */
    private void checkTimeoutAfterRead() {
      if (!completed.get()) {
        timeout = transport.loop().schedule(this::checkTimeout, 0, TimeUnit.NANOSECONDS);
      }
    }

    /** Abandons the call, unless data of the response arrived within the timeout. */
    private void checkTimeout() {
      if (completed.get()) {
        return;
      }
      long silentNanos = System.nanoTime() - lastReadNanos;
      long remainingNanos = TimeUnit.MILLISECONDS.toNanos(call.timeoutMillis()) - silentNanos;
      if (remainingNanos > 0) {
        timeout =
            transport
                .loop()
                .schedule(this::checkTimeoutAfterRead, remainingNanos, TimeUnit.NANOSECONDS);
        return;
      }
      abandon();
    }

    private void abandon() {
      // The connection may be permanently silent, and the others of the pool too.
      resetUnlessReplaced(usedPool);
      completeFailed(HttpResult.lost(), "no answer within " + call.timeoutMillis() + " ms");
      Subscription started = subscription;
      if (started != null) {
        started.cancel();
      }
    }

    private void completeFailed(HttpResult result, String reason) {
      if (complete(result)) {
        transport.failures().onFailed(address, call, result.fate(), reason);
      }
    }

    /** Passes a result to the handler; returns whether it is the first one. */
    @CanIgnoreReturnValue
    private boolean complete(HttpResult result) {
      if (!completed.compareAndSet(false, true)) {
        return false;
      }
      Future<?> pending = timeout;
      if (pending != null) {
        pending.cancel(false);
      }
      HttpEndpoint.this.release(usedPool);
      handler.accept(result);
      return true;
    }
  }
}
