package org.hemlockpick.internal.ownership;

import org.hemlockpick.proto.FencedRequest;

/** Follows the leases of this entry instance and the reports that come with them. */
public interface LeaseListener {

  /** A lease was granted under a new epoch; the worker holds the report of the grant. */
  default void granted(Worker worker) {}

  /** A new report of a held worker has been taken. */
  default void reported(Worker worker) {}

  /** The lease is not held any more. */
  default void lost(Worker worker) {}

  /** The worker is proved to run nothing any more and is not in the table any longer. */
  default void gone(Worker worker) {}

  /** The worker restarted; nothing of its former start runs any more. */
  default void restarted(Worker worker, String formerBoot) {}

  /** The worker said what became of a request that this instance asked about. */
  default void fenced(Worker worker, FencedRequest fenced) {}
}
