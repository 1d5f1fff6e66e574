package org.hemlockpick.daemon;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Memory of this process, in bytes. */
final class ProcessMemory {
  private static final long BYTES_PER_PAGE = 4_096;
  private static final Splitter FIELDS = Splitter.on(' ');
  private static final Path MEMORY_FILE = Path.of("/proc/self/statm");

  private ProcessMemory() {}

  static long heapBytes() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Returns the resident size of the process, or -1 if the system does not report it. */
  static long residentBytes() {
    try {
      return Long.parseLong(FIELDS.splitToList(Files.readString(MEMORY_FILE)).get(1))
          * BYTES_PER_PAGE;
    } catch (IOException | NumberFormatException e) {
      return -1;
    }
  }
}
