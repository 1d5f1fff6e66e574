package org.hemlockpick.daemon.admission;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/** Finds the end of a chunked body. What is not valid is left to the HTTP codec to refuse. */
final class ChunkScanner implements BodyScanner, ByteProcessor {
  /** Longest line with the size of a chunk, and longest trailer. */
  private static final int MAX_FRAMING_BYTES = 4_096;

  private static final int HEX = 16;

  private State state = State.SIZE;
  private long size;
  private long dataLeft;
  private int framingBytes;
  private boolean isLineEmpty = true;

  @Override
  public int scan(ByteBuf buffer) {
    int start = buffer.readerIndex();
    int at = start;
    while (at < buffer.writerIndex() && state != State.END && !isMalformed()) {
      at = state == State.DATA ? skipData(buffer, at) : processFraming(buffer, at);
    }
    return at - start;
  }

  private int skipData(ByteBuf buffer, int at) {
    int taken = (int) Math.min(dataLeft, buffer.writerIndex() - at);
    dataLeft -= taken;
    if (dataLeft == 0) {
      state = State.DATA_END;
    }
    return at + taken;
  }

  private int processFraming(ByteBuf buffer, int at) {
    int end = buffer.forEachByte(at, buffer.writerIndex() - at, this);
    return end < 0 ? buffer.writerIndex() : end + 1;
  }

  @Override
  public boolean process(byte value) {
    framingBytes++;
    if (value == '\n') {
      endLine();
    } else if (value != '\r') {
      isLineEmpty = false;
      addDigit(value);
    }
    return state != State.DATA && state != State.END && !isMalformed();
  }

  private void addDigit(byte value) {
    int digit = Character.digit(value, HEX);
    if (state == State.SIZE && digit >= 0) {
      size = Math.min(size * HEX + digit, Integer.MAX_VALUE);
    } else if (state == State.SIZE) {
      state = State.EXTENSION;
    }
  }

  private void endLine() {
    switch (state) {
      case SIZE, EXTENSION -> beginData();
      case DATA_END -> state = State.SIZE;
      case TRAILER -> state = isLineEmpty ? State.END : State.TRAILER;
      default -> {}
    }
    if (state != State.TRAILER) {
      framingBytes = 0;
    }
    isLineEmpty = true;
  }

  private void beginData() {
    state = size == 0 ? State.TRAILER : State.DATA;
    dataLeft = size;
    size = 0;
  }

  @Override
  public boolean isMalformed() {
    return framingBytes > MAX_FRAMING_BYTES;
  }

  private enum State {
    SIZE,
    EXTENSION,
    DATA,
    DATA_END,
    TRAILER,
    END
  }
}
