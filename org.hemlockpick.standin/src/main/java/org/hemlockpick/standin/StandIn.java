package org.hemlockpick.standin;

import java.util.concurrent.CompletableFuture;

/** Takes the place of one service or worker of the platform. */
public interface StandIn {
  /** Returns the time line of the stand-in. */
  Timeline timeline();

  /**
   * Carries out a call; may be called from any thread, must not block.
   *
   * @throws CallException to refuse the call
   */
  CompletableFuture<Reply> handle(Call call);
}
