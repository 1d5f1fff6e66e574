package org.hemlockpick.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.netty.channel.Channel;
import jakarta.inject.Singleton;

/** Passes the listeners of the server and the connections of callers to the drain. */
@Singleton
@Requires(beans = CallerDrain.class)
final class DrainCustomizer
    implements NettyServerCustomizer, BeanCreatedEventListener<NettyServerCustomizer.Registry> {
  private final CallerDrain drain;

  DrainCustomizer(CallerDrain drain) {
    this.drain = drain;
  }

  @Override
  public Registry onCreated(BeanCreatedEvent<Registry> event) {
    event.getBean().register(this);
    return event.getBean();
  }

  @Override
  public NettyServerCustomizer specializeForChannel(Channel channel, ChannelRole role) {
    if (role == ChannelRole.LISTENER) {
      drain.addListener(channel);
    }
    return role == ChannelRole.CONNECTION && drain.isForCallers(channel)
        ? new ConnectionCustomizer(drain, channel)
        : this;
  }

  private record ConnectionCustomizer(CallerDrain drain, Channel channel)
      implements NettyServerCustomizer {

    @Override
    public void onInitialPipelineBuilt() {
      CallerConnection.track(drain, channel);
    }
  }
}
