package org.hemlockpick.standin;

import io.netty.channel.Channel;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Forwards calls to a stand-in and injects the faults that are set for it. */
final class FaultInjector {
  private static final Logger log = Logger.getLogger(FaultInjector.class);
  private static final String FAULTS_PATH = "/v1/faults";

  private final StandIn standIn;
  private final Set<Channel> openChannels = ConcurrentHashMap.newKeySet();
  private final Set<Channel> silencedChannels = ConcurrentHashMap.newKeySet();
  private volatile Faults faults = Faults.none();

  FaultInjector(StandIn standIn) {
    this.standIn = standIn;
  }

  Timeline timeline() {
    return standIn.timeline();
  }

  /**
   * Replaces the faults that were set before. Calls that were left without an answer stay
   * unanswered.
   */
  void set(Faults newFaults) {
    silencedChannels.clear();
    if (newFaults.silentConnections()) {
      silencedChannels.addAll(openChannels);
    }
    faults = newFaults;
    timeline().write("faults", timeline().instance(), newFaults.toString());
  }

  /** Handles a call, subject to the faults. The result may never complete. */
  CompletableFuture<Reply> handle(Call call, long clock, Channel channel) {
    timeline().receive(clock);
    if (call.isPost(FAULTS_PATH)) {
      return setFaults(call);
    }
    track(channel);
    Faults active = faults;
    if (active.silent() || silencedChannels.contains(channel)) {
      return new CompletableFuture<>();
    }
    if (active.delayMillis() == 0) {
      return run(call, active, channel);
    }
    Executor delayed =
        CompletableFuture.delayedExecutor(active.delayMillis(), TimeUnit.MILLISECONDS);
    return CompletableFuture.runAsync(() -> {}, delayed)
        .thenCompose(done -> run(call, active, channel));
  }

  private CompletableFuture<Reply> run(Call call, Faults active, Channel channel) {
    if (active.down()) {
      return CompletableFuture.completedFuture(Reply.error(503, Messages.down()));
    }
    CompletableFuture<Reply> reply = handle(call);
    return active.loseAnswers() ? closeWithoutReply(reply, channel) : reply;
  }

  private CompletableFuture<Reply> handle(Call call) {
    try {
      return standIn.handle(call);
    } catch (CallException e) {
      return CompletableFuture.completedFuture(e.reply());
    } catch (RuntimeException e) {
      log.error(Messages.internal(), e);
      return CompletableFuture.completedFuture(Reply.error(500, Messages.internal()));
    }
  }

  private CompletableFuture<Reply> setFaults(Call call) {
    try {
      set(Faults.parse(call.body()));
      return CompletableFuture.completedFuture(new Reply(200, "{}"));
    } catch (CallException e) {
      return CompletableFuture.completedFuture(e.reply());
    }
  }

  private void track(Channel channel) {
    if (openChannels.add(channel)) {
      var unused = channel.closeFuture().addListener(done -> untrack(channel));
    }
  }

  private void untrack(Channel channel) {
    openChannels.remove(channel);
    silencedChannels.remove(channel);
  }

  private static CompletableFuture<Reply> closeWithoutReply(
      CompletableFuture<Reply> reply, Channel channel) {
    return reply.thenCompose(
        lost -> {
          var unused = channel.close();
          return new CompletableFuture<>();
        });
  }
}
