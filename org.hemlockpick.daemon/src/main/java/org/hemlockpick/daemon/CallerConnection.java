package org.hemlockpick.daemon;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.BooleanSupplier;

/**
 * One connection of a caller. It is busy from the first byte read of a request to the last byte
 * written of its answer. All fields are used on the connection's event loop only, where bytes are
 * read too, so that none can be read between the check and the close.
 */
final class CallerConnection {
  private final CallerDrain drain;
  private final Channel channel;
  private final BooleanSupplier hasUnread;
  private boolean requestIncomplete;
  private boolean endAnnounced;
  private int unanswered;

  private CallerConnection(CallerDrain drain, Channel channel, BooleanSupplier hasUnread) {
    this.drain = drain;
    this.channel = channel;
    this.hasUnread = hasUnread;
  }

  /** Tracks a connection whose pipeline has an HTTP codec and has not read anything. */
  static void track(CallerDrain drain, Channel channel) {
    track(drain, channel, () -> false);
  }

  /**
   * Tracks a connection whose pipeline has an HTTP codec and has not read anything.
   *
   * @param hasUnread whether bytes were read that have not been passed to the codec
   */
  static void track(CallerDrain drain, Channel channel, BooleanSupplier hasUnread) {
    CallerConnection connection = new CallerConnection(drain, channel, hasUnread);
    String codec = channel.pipeline().context(HttpServerCodec.class).name();
    channel.pipeline().addFirst(connection.new ByteHandler());
    channel.pipeline().addAfter(codec, null, connection.new MessageHandler());
    drain.add(connection, channel);
  }

  /** Closes the connection as soon as it is not busy. May be called on any thread. */
  void closeOnceIdle() {
    channel.eventLoop().execute(this::closeIfDue);
  }

  private void closeIfDue() {
    boolean busy = requestIncomplete || unanswered > 0;
    if (!busy && (endAnnounced || drain.isClosing())) {
      var unused = channel.close();
    }
  }

  private void onRequestComplete() {
    requestIncomplete = hasUnread.getAsBoolean();
    closeIfDue();
  }

  private void onAnswered() {
    unanswered--;
    closeIfDue();
  }

  /** Announces the end with the last answer that is due. */
  private void announceEnd(HttpResponse answer) {
    if (drain.isAnnouncing() && unanswered <= 1 && !hasUnread.getAsBoolean()) {
      HttpUtil.setKeepAlive(answer, false);
      endAnnounced = true;
    }
  }

  private static boolean isInformational(Object message) {
    return message instanceof HttpResponse answer
        && answer.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /** Sees the bytes before the codec, which passes on nothing until the head is complete. */
  private final class ByteHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      requestIncomplete = true;
      context.fireChannelRead(bytes);
    }
  }

  /** Sees requests after the codec and answers before it. */
  private final class MessageHandler extends ChannelDuplexHandler {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpRequest) {
        unanswered++;
      }
      boolean complete = message instanceof LastHttpContent;
      context.fireChannelRead(message);
      if (complete) {
        onRequestComplete();
      }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (isInformational(message)) {
        var unused = context.write(message, promise);
        return;
      }
      if (message instanceof HttpResponse answer) {
        announceEnd(answer);
      }
      ChannelPromise written = promise.unvoid();
      if (message instanceof LastHttpContent) {
        var unused = written.addListener(done -> onAnswered());
      }
      var unused = context.write(message, written);
    }
  }
}
