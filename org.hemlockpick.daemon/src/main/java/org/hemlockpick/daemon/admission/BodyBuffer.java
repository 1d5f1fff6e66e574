package org.hemlockpick.daemon.admission;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Collects the body of one request on the heap until it is complete, so that many small pieces cost
 * no more than their bytes and nothing of an incomplete request reaches a controller.
 */
final class BodyBuffer {
  private static final int MIN_CAPACITY = 256;

  private final HttpRequest head;
  private final long maxBytes;
  private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

  /**
   * Creates an empty buffer.
   *
   * @param maxBytes most bytes that the body may have
   */
  BodyBuffer(HttpRequest head, long maxBytes) {
    this.head = head;
    this.maxBytes = maxBytes;
  }

  HttpRequest head() {
    return head;
  }

  int size() {
    return bytes.readableBytes();
  }

  /** Returns whether the body would exceed its limit with more bytes. */
  boolean exceedsLimit(int more) {
    return (long) size() + more > maxBytes;
  }

  /** Returns by how many bytes the buffer must grow before more bytes are added; 0 for none. */
  int growth(int more) {
    int needed = size() + more;
    if (needed <= bytes.capacity()) {
      return 0;
    }
    long doubled = Math.max(MIN_CAPACITY, 2L * bytes.capacity());
    return (int) Math.max(needed, Math.min(doubled, maxBytes)) - bytes.capacity();
  }

  /** Adds a piece of the body after the buffer has grown. */
  void add(ByteBuf piece, int growth) {
    if (growth > 0) {
      bytes = Unpooled.buffer(bytes.capacity() + growth).writeBytes(bytes);
    }
    bytes.writeBytes(piece);
  }

  /** Returns the complete body. */
  LastHttpContent toContent() {
    return bytes.isReadable()
        ? new DefaultLastHttpContent(bytes)
        : LastHttpContent.EMPTY_LAST_CONTENT;
  }
}
