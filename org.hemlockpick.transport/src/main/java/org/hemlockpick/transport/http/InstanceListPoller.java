package org.hemlockpick.transport.http;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.InstanceList;

/** Fetches the instance list at an interval over HTTP and delivers each complete one. */
public final class InstanceListPoller implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 1;
  private static final long TIMEOUT_MILLIS = 2_000;

  private final HttpTransport transport;
  private final MessageEndpoint endpoint;
  private final Duration interval;
  private final LongSupplier clock;
  private final Consumer<Input> inputs;
  private final AtomicBoolean running = new AtomicBoolean();

  /**
   * Creates a poller that does nothing before {@link #start}.
   *
   * @param transport transport that all HTTP clients share
   * @param address host and port of the instance list
   * @param interval time between the end of a fetch and the next one
   * @param clock supplies the Lamport clock of this entry instance; called on any thread
   * @param inputs receives the lists; called on any thread, must not block
   */
  public InstanceListPoller(
      HttpTransport transport,
      String address,
      Duration interval,
      LongSupplier clock,
      Consumer<Input> inputs) {
    this.transport = transport;
    this.endpoint = new MessageEndpoint(transport, address, MAX_CONNECTIONS);
    this.interval = interval;
    this.clock = clock;
    this.inputs = inputs;
  }

  /** Starts polling; does nothing if already started. */
  public void start() {
    if (running.compareAndSet(false, true)) {
      fetch();
    }
  }

  /** Stops polling. */
  @Override
  public void close() {
    running.set(false);
    endpoint.close();
  }

  private void fetch() {
    if (running.get()) {
      endpoint.get("/v1/instances", clock.getAsLong(), TIMEOUT_MILLIS, this::onResult);
    }
  }

  private void onResult(MessageResult result) {
    var unused = transport.loop().schedule(this::fetch, interval.toMillis(), TimeUnit.MILLISECONDS);
    if (!result.isAnswered()) {
      return;
    }
    try {
      InstanceList list = Json.merge(result.body(), InstanceList.newBuilder()).build();
      inputs.accept(Input.newBuilder().setClock(result.clock()).setInstanceList(list).build());
    } catch (InvalidProtocolBufferException e) {
      // Ignored, as the next poll fetches a complete list.
    }
  }
}
