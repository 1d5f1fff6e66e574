package org.hemlockpick.transport.http;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import java.net.ConnectException;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.channels.UnresolvedAddressException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.hemlockpick.proto.CallFate;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Sends calls to one address and tells what became of each; never sends a call twice. */
final class Destination {
  private final HttpTransport transport;
  private final String address;
  private final int maxInFlight;

  private Connections connections;
  private int inFlight;

  /**
   * Creates a destination without connections.
   *
   * @param address host and port
   * @param maxInFlight bound on the calls in flight and so on the open connections
   */
  Destination(HttpTransport transport, String address, int maxInFlight) {
    this.transport = transport;
    this.address = address;
    this.maxInFlight = maxInFlight;
    this.connections = new Connections(transport.newClient(maxInFlight));
  }

  String address() {
    return address;
  }

  /** Makes the next call use a new connection; calls in flight keep theirs. */
  void reset() {
    Connections old;
    synchronized (this) {
      old = connections;
      connections = new Connections(transport.newClient(maxInFlight));
    }
    old.retire();
  }

  /** Closes the connections once the calls in flight have ended. */
  void close() {
    connections().retire();
  }

  /** Sends a call; the handler is called once, on any thread. */
  void post(Post post, Consumer<Answer> handler) {
    URI uri = URI.create("http://" + address + post.path());
    send(
        HttpRequest.POST(uri, Json.bytes(post.message())),
        post.clock(),
        post.timeoutMillis(),
        handler);
  }

  /** Fetches a resource; the handler is called once, on any thread. */
  void get(String path, long clock, long timeoutMillis, Consumer<Answer> handler) {
    send(HttpRequest.GET(URI.create("http://" + address + path)), clock, timeoutMillis, handler);
  }

  private void send(
      MutableHttpRequest<?> request, long clock, long timeoutMillis, Consumer<Answer> handler) {
    Connections used = begin();
    if (used == null) {
      handler.accept(Answer.notSent());
      return;
    }
    Exchange exchange = new Exchange(used, handler);
    request
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .accept(MediaType.APPLICATION_JSON_TYPE)
        .header(HttpTransport.CLOCK_HEADER, Long.toUnsignedString(clock));
    exchange.start(request, timeoutMillis);
  }

  private synchronized @Nullable Connections begin() {
    if (inFlight >= maxInFlight) {
      return null;
    }
    inFlight++;
    connections.begin();
    return connections;
  }

  private void end(Connections used) {
    synchronized (this) {
      inFlight--;
    }
    used.end();
  }

  private synchronized Connections connections() {
    return connections;
  }

  private void resetUnlessReplaced(Connections used) {
    if (connections() == used) {
      reset();
    }
  }

  private static Answer answer(HttpResponse<byte[]> response) {
    long clock = HttpTransport.clock(response.getHeaders());
    byte[] body = response.body();
    if (response.code() != HttpStatus.OK.getCode() || body == null) {
      return Answer.lost(clock);
    }
    return new Answer(CallFate.ANSWERED, new String(body, StandardCharsets.UTF_8), clock);
  }

  /** Only a failure to connect proves that no byte was sent. */
  private static Answer failure(Throwable thrown) {
    for (Throwable t = thrown; t != null; t = t.getCause()) {
      if (t instanceof ConnectException
          || t instanceof UnknownHostException
          || t instanceof UnresolvedAddressException) {
        return Answer.notSent();
      }
    }
    return Answer.lost(0);
  }

  /** One call in flight, from its sending to its only answer. */
  private final class Exchange implements Subscriber<HttpResponse<byte[]>> {
    private final Connections used;
    private final Consumer<Answer> handler;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile @Nullable Subscription subscription;
    private volatile @Nullable Future<?> timeout;

    Exchange(Connections used, Consumer<Answer> handler) {
      this.used = used;
      this.handler = handler;
    }

    void start(MutableHttpRequest<?> request, long timeoutMillis) {
      timeout = transport.loop().schedule(this::expire, timeoutMillis, TimeUnit.MILLISECONDS);
      used.client().exchange(request, byte[].class).subscribe(this);
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
    public void onError(Throwable thrown) {
      end(failure(thrown));
    }

    @Override
    public void onComplete() {
      end(Answer.lost(0));
    }

    private void expire() {
      if (ended.get()) {
        return;
      }
      // The connection may have gone silent for good, and others with it.
      resetUnlessReplaced(used);
      end(Answer.lost(0));
      Subscription started = subscription;
      if (started != null) {
        started.cancel();
      }
    }

    private void end(Answer answer) {
      if (!ended.compareAndSet(false, true)) {
        return;
      }
      Future<?> pending = timeout;
      if (pending != null) {
        pending.cancel(false);
      }
      Destination.this.end(used);
      handler.accept(answer);
    }
  }
}
