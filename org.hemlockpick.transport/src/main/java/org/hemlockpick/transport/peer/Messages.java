package org.hemlockpick.transport.peer;

import java.net.SocketAddress;
import org.jspecify.annotations.Nullable;

/** Log messages. */
final class Messages {
  private Messages() {}

  static String badFrame(@Nullable SocketAddress remote, Throwable cause) {
    return "bad frame from " + remote + ": " + cause.getMessage();
  }

  static String connectionFailed(@Nullable SocketAddress remote, Throwable cause) {
    return "connection to " + remote + " failed: " + cause.getMessage();
  }

  static String silent(@Nullable SocketAddress remote, long millis) {
    return "connection to " + remote + " was silent for " + millis + " ms";
  }

  static String receiverFailed(Throwable cause) {
    return "receiver of peer messages failed: " + cause;
  }
}
