package org.hemlockpick.internal.ownership;

import java.util.List;

/** Provides the open attempts whose outcome at the worker is unknown. */
public interface FenceSource {

  /** Returns the attempts to ask the worker about with the next lease call. */
  List<RequestAttempt> attemptsToFence(Worker worker, long now);
}
