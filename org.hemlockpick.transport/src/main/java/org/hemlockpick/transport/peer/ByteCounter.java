package org.hemlockpick.transport.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of a connection and records when the last ones arrived. */
final class ByteCounter extends ChannelDuplexHandler {
  private final TrafficCounters traffic;
  private long lastReadNanos = System.nanoTime();

  ByteCounter(TrafficCounters traffic) {
    this.traffic = traffic;
  }

  /** Returns the time since bytes last arrived, in milliseconds. */
  long silentMillis(long nowNanos) {
    return (nowNanos - lastReadNanos) / 1_000_000;
  }

  /** Restarts the measurement of the silence. */
  void restartSilence(long nowNanos) {
    lastReadNanos = nowNanos;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    lastReadNanos = System.nanoTime();
    context.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    lastReadNanos = System.nanoTime();
    if (message instanceof ByteBuf bytes) {
      traffic.bytesIn.add(bytes.readableBytes());
    }
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf bytes) {
      traffic.bytesOut.add(bytes.readableBytes());
    }
    var unused = context.write(message, promise);
  }
}
