package org.hemlockpick.internal.ownership;

import java.util.List;

/** Names the open attempts whose fate at the worker is in doubt. */
public interface FenceSource {

  /** Returns the attempts to ask the worker about with the next lease call. */
  List<RequestAttempt> attemptsToFence(Worker worker, long now);
}
