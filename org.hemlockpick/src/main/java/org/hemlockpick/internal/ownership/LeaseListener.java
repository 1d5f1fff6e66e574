package org.hemlockpick.internal.ownership;

import org.hemlockpick.proto.FencedRequest;

/** Receives changes of the leases of this entry instance and the reports that come with them. */
public interface LeaseListener {

  /** Called when a lease was granted under a new epoch; the worker has the report of the grant. */
  default void granted(Worker worker) {}

  /** Called when a new report of a held worker was applied. */
  default void reported(Worker worker) {}

  /** Called when the lease is no longer held. */
  default void lost(Worker worker) {}

  /** Called when the worker was removed from the table; it is proved to run nothing any more. */
  default void gone(Worker worker) {}

  /** Called when the worker restarted; nothing of its previous boot runs any more. */
  default void restarted(Worker worker, String previousBoot) {}

  /** Called when the worker reported the outcome of a request that this instance asked about. */
  default void fenced(Worker worker, FencedRequest fenced) {}
}
