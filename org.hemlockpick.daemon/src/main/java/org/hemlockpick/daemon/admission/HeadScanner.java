package org.hemlockpick.daemon.admission;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Finds the end of the head of a request: the empty line after it. Empty lines before it are
 * skipped; they count as bytes of the head.
 */
final class HeadScanner implements ByteProcessor {
  private int bytes;
  private int lines;
  private boolean hasContent;
  private boolean isLineEmpty = true;
  private boolean isComplete;

  /** Begins the next head. */
  void reset() {
    bytes = 0;
    resume();
  }

  /** Goes on if what looked like a head was none; its bytes still count. */
  void resume() {
    lines = 0;
    hasContent = false;
    isLineEmpty = true;
    isComplete = false;
  }

  /** Skips empty lines before a head. */
  void skipEmptyLines(ByteBuf buffer) {
    while (!hasContent && buffer.isReadable() && isLineEnd(buffer.getByte(buffer.readerIndex()))) {
      bytes++;
      buffer.skipBytes(1);
    }
  }

  /** Returns how many readable bytes belong to the head, at most up to its end. */
  int scan(ByteBuf buffer) {
    int end = buffer.forEachByte(this);
    return end < 0 ? buffer.readableBytes() : end + 1 - buffer.readerIndex();
  }

  @Override
  public boolean process(byte value) {
    bytes++;
    hasContent = true;
    if (value == '\n') {
      lines++;
      isComplete = isLineEmpty;
      isLineEmpty = true;
    } else if (value != '\r') {
      isLineEmpty = false;
    }
    return !isComplete;
  }

  boolean hasContent() {
    return hasContent;
  }

  boolean isComplete() {
    return isComplete;
  }

  int bytes() {
    return bytes;
  }

  int lines() {
    return lines;
  }

  private static boolean isLineEnd(byte value) {
    return value == '\r' || value == '\n';
  }
}
