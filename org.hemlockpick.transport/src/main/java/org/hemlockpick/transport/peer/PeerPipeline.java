package org.hemlockpick.transport.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.function.Consumer;
import org.hemlockpick.proto.PeerMessage;

/** Initializes a connection; a frame is a length in four bytes and a message. */
final class PeerPipeline extends ChannelInitializer<Channel> {
  private static final int LENGTH_BYTES = 4;

  private final String ownName;
  private final boolean accepted;
  private final TrafficCounters traffic;
  private final Consumer<PeerMessage> receiver;
  private final Consumer<Channel> onOpened;

  PeerPipeline(
      String ownName,
      boolean accepted,
      TrafficCounters traffic,
      Consumer<PeerMessage> receiver,
      Consumer<Channel> onOpened) {
    this.ownName = ownName;
    this.accepted = accepted;
    this.traffic = traffic;
    this.receiver = receiver;
    this.onOpened = onOpened;
  }

  @Override
  protected void initChannel(Channel channel) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(new ByteCounter(traffic));
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            PeerLink.MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    pipeline.addLast(new ProtobufDecoder(PeerMessage.getDefaultInstance()));
    pipeline.addLast(new ProtobufEncoder());
    pipeline.addLast(new FrameReceiver(ownName, accepted, traffic, receiver));
    onOpened.accept(channel);
  }
}
