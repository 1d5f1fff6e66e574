package org.hemlockpick.standin;

import io.netty.channel.Channel;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Passes calls to a stand-in and shows the faults that were set for it. */
final class FaultGate {
  private static final Logger log = Logger.getLogger(FaultGate.class);
  private static final String FAULTS_PATH = "/v1/faults";

  private final StandIn standIn;
  private final Set<Channel> open = ConcurrentHashMap.newKeySet();
  private final Set<Channel> silenced = ConcurrentHashMap.newKeySet();
  private volatile Faults faults = Faults.none();

  FaultGate(StandIn standIn) {
    this.standIn = standIn;
  }

  Timeline timeline() {
    return standIn.timeline();
  }

  /** Sets the faults; those set earlier end, but calls that were left without an answer stay so. */
  void set(Faults wanted) {
    silenced.clear();
    if (wanted.silentConnections()) {
      silenced.addAll(open);
    }
    faults = wanted;
    timeline().write("faults", timeline().instance(), wanted.toString());
  }

  /** Carries out a call; the result may never complete. */
  CompletableFuture<Reply> handle(Call call, long clock, Channel channel) {
    timeline().receive(clock);
    if (call.isPost(FAULTS_PATH)) {
      return setFaults(call);
    }
    note(channel);
    Faults shown = faults;
    if (shown.silent() || silenced.contains(channel)) {
      return new CompletableFuture<>();
    }
    if (shown.delayMillis() == 0) {
      return run(call, shown, channel);
    }
    Executor later = CompletableFuture.delayedExecutor(shown.delayMillis(), TimeUnit.MILLISECONDS);
    return CompletableFuture.runAsync(() -> {}, later)
        .thenCompose(done -> run(call, shown, channel));
  }

  private CompletableFuture<Reply> run(Call call, Faults shown, Channel channel) {
    if (shown.down()) {
      return CompletableFuture.completedFuture(Reply.error(503, Messages.down()));
    }
    CompletableFuture<Reply> reply = handle(call);
    return shown.loseAnswers() ? lose(reply, channel) : reply;
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

  private void note(Channel channel) {
    if (open.add(channel)) {
      var unused = channel.closeFuture().addListener(done -> forget(channel));
    }
  }

  private void forget(Channel channel) {
    open.remove(channel);
    silenced.remove(channel);
  }

  private static CompletableFuture<Reply> lose(CompletableFuture<Reply> reply, Channel channel) {
    return reply.thenCompose(
        lost -> {
          var unused = channel.close();
          return new CompletableFuture<>();
        });
  }
}
