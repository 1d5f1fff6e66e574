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

/** Sends calls to one address and tells what became of each; never sends a call twice. */
public final class HttpEndpoint {
  private static final Argument<byte[]> BYTES = Argument.of(byte[].class);

  /** Most causes of a failure that are followed. */
  private static final int MAX_CAUSES = 16;

  private final HttpTransport transport;
  private final String address;
  private final int maxInFlight;

  private ConnectionPool connections;
  private int inFlight;

  /**
   * Creates an endpoint without connections.
   *
   * @param transport what all endpoints share
   * @param address host and port
   * @param maxInFlight bound on the calls in flight and so on the open connections
   */
  public HttpEndpoint(HttpTransport transport, String address, int maxInFlight) {
    this.transport = transport;
    this.address = address;
    this.maxInFlight = maxInFlight;
    this.connections = new ConnectionPool(transport.newClient(maxInFlight));
  }

  String address() {
    return address;
  }

  /** Makes the next call use a new connection; calls in flight keep theirs. */
  void reset() {
    ConnectionPool old;
    synchronized (this) {
      old = connections;
      connections = new ConnectionPool(transport.newClient(maxInFlight));
    }
    old.retire();
  }

  /** Closes the connections once the calls in flight have ended. */
  public void close() {
    connections().retire();
  }

  /** Sends a call; the handler is called once, on any thread. */
  public void send(HttpCall call, Consumer<HttpResult> handler) {
    ConnectionPool used = begin();
    if (used == null) {
      String reason = maxInFlight + " calls are in flight";
      transport.failures().onFailed(address, call, CallFate.NOT_SENT, reason);
      handler.accept(HttpResult.notSent());
      return;
    }
    URI uri = URI.create("http://" + address + call.path());
    MutableHttpRequest<byte[]> request =
        HttpRequest.create(HttpMethod.valueOf(call.method().name()), uri.toString());
    if (call.body().length > 0) {
      request.body(call.body()).contentType(MediaType.APPLICATION_JSON_TYPE);
    }
    request.accept(MediaType.APPLICATION_JSON_TYPE);
    call.headers().forEach(request::header);
    new InFlightCall(used, call, handler).start(request);
  }

  private synchronized @Nullable ConnectionPool begin() {
    if (inFlight >= maxInFlight) {
      return null;
    }
    inFlight++;
    connections.begin();
    return connections;
  }

  private void end(ConnectionPool used) {
    synchronized (this) {
      inFlight--;
    }
    used.end();
  }

  private synchronized ConnectionPool connections() {
    return connections;
  }

  private void resetUnlessReplaced(ConnectionPool used) {
    if (connections() == used) {
      reset();
    }
  }

  private static HttpResult answer(HttpResponse<?> response) {
    byte[] body = response.getBody(BYTES).orElse(null);
    return new HttpResult(
        CallFate.ANSWERED,
        response.code(),
        body == null ? new byte[0] : body,
        HttpTransport.clock(response.getHeaders()));
  }

  /** Only a failure to connect proves that no byte was sent. */
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
    return root == thrown ? thrown.toString() : thrown + ", as " + root;
  }

  /** One call in flight, from its sending to its only answer. */
  private final class InFlightCall
      implements Subscriber<HttpResponse<byte[]>>, ResponseAssembler.Listener {
    private final ConnectionPool used;
    private final HttpCall call;
    private final Consumer<HttpResult> handler;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile @Nullable Subscription subscription;
    private volatile @Nullable Future<?> timeout;
    private volatile long heardAtNanos = System.nanoTime();

    InFlightCall(ConnectionPool used, HttpCall call, Consumer<HttpResult> handler) {
      this.used = used;
      this.call = call;
      this.handler = handler;
    }

    void start(MutableHttpRequest<?> request) {
      long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(call.timeoutMillis());
      transport.loop().execute(() -> send(request, deadline));
    }

    /** Sends the request, unless the loop comes to it only after its time. */
    private void send(MutableHttpRequest<?> request, long deadlineNanos) {
      long leftNanos = deadlineNanos - System.nanoTime();
      if (leftNanos <= 0) {
        giveUp();
        return;
      }
      timeout = transport.loop().schedule(this::readBeforeLook, leftNanos, TimeUnit.NANOSECONDS);
      switch (call.limit()) {
        case WHOLE -> used.client().exchange(request, BYTES, BYTES).subscribe(this);
        case SILENCE ->
            used.client()
                .exchangeStream(request, BYTES)
                .subscribe(new ResponseAssembler(HttpTransport.MAX_ANSWER_BYTES, this));
      }
    }

    @Override
    public void onSubscribe(Subscription started) {
      subscription = started;
      started.request(1);
    }

    @Override
    public void onNext(HttpResponse<byte[]> response) {
      end(answer(response));
    }

    @Override
    public void onPart() {
      heardAtNanos = System.nanoTime();
    }

    @Override
    public void onWhole(HttpResult whole) {
      end(whole);
    }

    @Override
    public void onError(Throwable thrown) {
      if (thrown instanceof HttpClientResponseException refused) {
        // The client throws whatever is no success, as it tells no error from another.
        end(answer(refused.getResponse()));
        return;
      }
      endFailed(failure(thrown), reason(thrown));
    }

    @Override
    public void onComplete() {
      endFailed(HttpResult.lost(), "the connection ended without an answer");
    }

    /**
     * Lets the loop read once more before the call is looked at: the answer may lie in its
     * connection while the loop was busy with others. What is scheduled now runs after that.
     */
    private void readBeforeLook() {
      if (!ended.get()) {
        timeout = transport.loop().schedule(this::look, 0, TimeUnit.NANOSECONDS);
      }
    }

    /** Gives the call up, unless a part of the answer came within its time limit. */
    private void look() {
      if (ended.get()) {
        return;
      }
      long silentNanos = System.nanoTime() - heardAtNanos;
      long leftNanos = TimeUnit.MILLISECONDS.toNanos(call.timeoutMillis()) - silentNanos;
      if (leftNanos > 0) {
        timeout = transport.loop().schedule(this::readBeforeLook, leftNanos, TimeUnit.NANOSECONDS);
        return;
      }
      giveUp();
    }

    private void giveUp() {
      // The connection may have gone silent for good, and others with it.
      resetUnlessReplaced(used);
      endFailed(HttpResult.lost(), "no answer within " + call.timeoutMillis() + " ms");
      Subscription started = subscription;
      if (started != null) {
        started.cancel();
      }
    }

    private void endFailed(HttpResult answer, String reason) {
      if (end(answer)) {
        transport.failures().onFailed(address, call, answer.fate(), reason);
      }
    }

    /** Hands on an answer; returns whether it is the first one. */
    @CanIgnoreReturnValue
    private boolean end(HttpResult answer) {
      if (!ended.compareAndSet(false, true)) {
        return false;
      }
      Future<?> pending = timeout;
      if (pending != null) {
        pending.cancel(false);
      }
      HttpEndpoint.this.end(used);
      handler.accept(answer);
      return true;
    }
  }
}
