package org.hemlockpick.daemon;

import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.WorkerCall;

/** Carries out what the loop wants done outside of the process. No method blocks. */
interface Effects {
  /** Sends a message to the peer that it names. */
  void send(PeerMessage message);

  /** Calls a worker. */
  void call(WorkerCall call, long clock);

  /** Calls the table service. */
  void call(StoreCall call, long clock);

  /** Calls the object store. */
  void call(BlobCall call, long clock);

  /** Closes the open connections to a worker. */
  void reset(String worker);

  /** Takes note that the planned stop is complete. */
  void stopped();
}
