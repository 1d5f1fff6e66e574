package org.hemlockpick.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.netty.channel.Channel;
import jakarta.inject.Singleton;
import org.hemlockpick.daemon.admission.CallerAdmission;

/** Passes the listeners and the connections of callers to the drain and to the limits. */
@Singleton
@Requires(beans = {CallerDrain.class, CallerAdmission.class})
final class DrainCustomizer
    implements NettyServerCustomizer, BeanCreatedEventListener<NettyServerCustomizer.Registry> {
  private final CallerDrain drain;
  private final CallerAdmission admission;

  DrainCustomizer(CallerDrain drain, CallerAdmission admission) {
    this.drain = drain;
    this.admission = admission;
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
        ? new ConnectionCustomizer(drain, admission, channel)
        : this;
  }

  private record ConnectionCustomizer(CallerDrain drain, CallerAdmission admission, Channel channel)
      implements NettyServerCustomizer {

    @Override
    public void onInitialPipelineBuilt() {
      CallerConnection.track(drain, channel, admission.install(channel));
    }
  }
}
