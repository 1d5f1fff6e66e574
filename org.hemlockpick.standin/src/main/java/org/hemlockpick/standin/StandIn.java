package org.hemlockpick.standin;

import java.util.concurrent.CompletableFuture;

/** Replaces one service or worker of the platform in tests and demos. */
public interface StandIn {
  /** Returns the timeline of the stand-in. */
  Timeline timeline();

  /**
   * Handles a call. May be called from any thread and must not block.
   *
   * @throws CallException to refuse the call
   */
  CompletableFuture<Reply> handle(Call call);
}
