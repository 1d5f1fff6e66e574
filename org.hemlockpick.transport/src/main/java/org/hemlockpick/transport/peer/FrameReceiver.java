package org.hemlockpick.transport.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.util.function.Consumer;
import org.hemlockpick.proto.PeerMessage;
import org.jboss.logging.Logger;

/** Delivers the messages of one connection; closes the connection at the first bad frame. */
final class FrameReceiver extends SimpleChannelInboundHandler<PeerMessage> {
  private static final Logger log = Logger.getLogger(FrameReceiver.class);

  private final String ownName;
  private final boolean answersPings;
  private final TrafficCounters traffic;
  private final Consumer<PeerMessage> receiver;

  FrameReceiver(
      String ownName,
      boolean answersPings,
      TrafficCounters traffic,
      Consumer<PeerMessage> receiver) {
    this.ownName = ownName;
    this.answersPings = answersPings;
    this.traffic = traffic;
    this.receiver = receiver;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
    if (message.getTo().isEmpty()) {
      answerPing(context);
      return;
    }
    if (!message.getTo().equals(ownName)) {
      traffic.badFrames.increment();
      return;
    }
    traffic.received.increment();
    receiver.accept(message);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof DecoderException) {
      traffic.badFrames.increment();
      log.warn(Messages.badFrame(context.channel().remoteAddress(), cause));
    } else {
      log.debug(Messages.connectionFailed(context.channel().remoteAddress(), cause));
    }
    var unused = context.close();
  }

  private void answerPing(ChannelHandlerContext context) {
    // A peer that does not read the answers must not make this side keep them.
    if (answersPings && context.channel().isWritable()) {
      var unused = context.writeAndFlush(PeerMessage.getDefaultInstance());
    }
  }
}
