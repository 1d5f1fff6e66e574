package org.hemlockpick.daemon.admission;

import io.netty.buffer.ByteBuf;

/** Finds the end of the body of a request, so that the next request is not read with it. */
interface BodyScanner {
  /** Returns how many readable bytes belong to the body, at most up to its end. */
  int scan(ByteBuf buffer);

  /** Returns whether the body cannot be accepted: its framing takes too many bytes. */
  default boolean isMalformed() {
    return false;
  }

  /** Returns a scanner for a body of a declared length, in bytes. */
  static BodyScanner ofLength(long length) {
    return new BodyScanner() {
      private long left = length;

      @Override
      public int scan(ByteBuf buffer) {
        int taken = (int) Math.min(left, buffer.readableBytes());
        left -= taken;
        return taken;
      }
    };
  }
}
