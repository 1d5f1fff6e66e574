package org.hemlockpick.transport.http;

import io.micronaut.core.io.buffer.ByteBuffer;
import io.micronaut.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.hemlockpick.proto.CallFate;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Assembles a streamed response from its chunks and reports each chunk to a listener. */
final class ResponseAssembler implements Subscriber<HttpResponse<ByteBuffer<?>>> {
  private final int maxBytes;
  private final Listener listener;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable Subscription subscription;
  private @Nullable HttpResponse<ByteBuffer<?>> firstChunk;

  /** Receives the progress of a response. */
  interface Listener {
    /** Receives the subscription, which can cancel the call. */
    void onSubscribe(Subscription subscription);

    /** Called when a chunk of the response has arrived. */
    void onChunk();

    /** Receives the complete response. */
    void onResponse(HttpResult answer);

    /** Called when the call has failed. */
    void onError(Throwable thrown);

    /** Called when the call ended without a response. */
    void onComplete();
  }

  /**
   * Creates an assembler without chunks.
   *
   * @param maxBytes maximum size of the body
   */
  ResponseAssembler(int maxBytes, Listener listener) {
    this.maxBytes = maxBytes;
    this.listener = listener;
  }

  @Override
  public void onSubscribe(Subscription started) {
    subscription = started;
    listener.onSubscribe(started);
    started.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(HttpResponse<ByteBuffer<?>> chunk) {
    listener.onChunk();
    if (firstChunk == null) {
      firstChunk = chunk;
    }
    ByteBuffer<?> bytes = chunk.body();
    if (bytes != null) {
      body.writeBytes(bytes.toByteArray());
    }
    Subscription started = subscription;
    if (body.size() > maxBytes && started != null) {
      started.cancel();
      listener.onError(new IOException("the response has more than " + maxBytes + " bytes"));
    }
  }

  @Override
  public void onError(Throwable thrown) {
    listener.onError(thrown);
  }

  @Override
  public void onComplete() {
    HttpResponse<ByteBuffer<?>> head = firstChunk;
    if (head == null) {
      listener.onComplete();
      return;
    }
    long clock = HttpTransport.clock(head.getHeaders());
    listener.onResponse(new HttpResult(CallFate.ANSWERED, head.code(), body.toByteArray(), clock));
  }
}
