package org.hemlockpick.transport.http;

import io.micronaut.core.io.buffer.ByteBuffer;
import io.micronaut.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.hemlockpick.proto.CallFate;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Puts the parts of one answer together as they come, and tells of each. */
final class ResponseAssembler implements Subscriber<HttpResponse<ByteBuffer<?>>> {
  private final int maxBytes;
  private final Listener listener;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable Subscription subscription;
  private @Nullable HttpResponse<ByteBuffer<?>> firstChunk;

  /** Hears of an answer. */
  interface Listener {
    /** Takes what the call is given up with. */
    void onSubscribe(Subscription subscription);

    /** Takes note that a part of the answer came. */
    void onChunk();

    /** Takes the whole answer. */
    void onResponse(HttpResult answer);

    /** Takes note that the call failed. */
    void onError(Throwable thrown);

    /** Takes note that there is no answer. */
    void onComplete();
  }

  /**
   * Creates an empty answer.
   *
   * @param maxBytes most bytes of its body
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
      listener.onError(new IOException("the answer has more than " + maxBytes + " bytes"));
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
