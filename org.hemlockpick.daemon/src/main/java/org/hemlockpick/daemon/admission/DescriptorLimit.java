package org.hemlockpick.daemon.admission;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** The number of descriptors that connections of callers may use. */
final class DescriptorLimit {
  /** Descriptors kept for the table service, workers, peers and files. */
  private static final int RESERVED = 256;

  private static final long UNKNOWN = 4_096;

  private DescriptorLimit() {}

  static int forCallers() {
    long limit =
        ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
            ? system.getMaxFileDescriptorCount()
            : UNKNOWN;
    return forCallers(limit);
  }

  /** Returns the part of a limit that callers get; at least half if the limit is small. */
  static int forCallers(long limit) {
    return (int) Math.min(Integer.MAX_VALUE, Math.max(limit / 2, limit - RESERVED));
  }
}
