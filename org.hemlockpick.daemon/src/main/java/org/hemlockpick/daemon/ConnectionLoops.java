package org.hemlockpick.daemon;

import io.micronaut.context.annotation.Bean;
import io.micronaut.context.annotation.Factory;
import io.micronaut.context.annotation.Requires;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import jakarta.inject.Named;
import jakarta.inject.Singleton;
import org.hemlockpick.daemon.admission.CallerAdmission;

/**
 * Provides the event loops of connections. Readiness and metrics have one of their own, so that
 * they are answered whatever callers send.
 */
@Factory
@Requires(beans = {CallerDrain.class, CallerAdmission.class})
final class ConnectionLoops {
  /** Name by which the settings of the server refer to the group. */
  static final String NAME = "connections";

  private static final int CALLER_THREADS = 2;

  @Bean(preDestroy = "shutdownGracefully")
  @Singleton
  @Named(NAME)
  EventLoopGroup connections(CallerDrain drain, CallerAdmission admission) {
    return new PortEventLoopGroup(drain, admission);
  }

  /** Assigns connections to event loops by whether callers use their port. */
  private static final class PortEventLoopGroup extends MultiThreadIoEventLoopGroup {
    private final CallerDrain drain;
    private final CallerAdmission admission;
    private final EventLoopGroup operations = newGroup(1, "operations");

    PortEventLoopGroup(CallerDrain drain, CallerAdmission admission) {
      super(CALLER_THREADS, new DefaultThreadFactory("callers", true), NioIoHandler.newFactory());
      this.drain = drain;
      this.admission = admission;
    }

    @Override
    public ChannelFuture register(Channel channel) {
      if (!drain.isForCallers(channel)) {
        return operations.register(channel);
      }
      return admission.accept(channel) ? super.register(channel) : refuse(channel);
    }

    /** Closes a connection; its registration never ends, as the server logs each that fails. */
    private static ChannelFuture refuse(Channel channel) {
      channel.unsafe().closeForcibly();
      return new DefaultChannelPromise(channel, GlobalEventExecutor.INSTANCE);
    }

    @Override
    public Future<?> shutdownGracefully() {
      var unused = operations.shutdownGracefully();
      return super.shutdownGracefully();
    }

    private static EventLoopGroup newGroup(int threads, String name) {
      return new MultiThreadIoEventLoopGroup(
          threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }
  }
}
