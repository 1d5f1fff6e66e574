package org.hemlockpick.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/** Maps path prefixes to stand-ins. */
final class MountTable {
  private final Map<String, FaultInjector> injectors = new ConcurrentHashMap<>();

  /** Adds a stand-in under a prefix that has no trailing slash; the empty prefix is the root. */
  void put(String prefix, FaultInjector injector) {
    injectors.put(prefix, injector);
  }

  @Nullable FaultInjector get(String prefix) {
    return injectors.get(prefix);
  }

  void remove(String prefix) {
    injectors.remove(prefix);
  }

  /** Returns the longest prefix of a path under which a stand-in is mounted, or null. */
  @Nullable String longestPrefix(String path) {
    for (int end = path.length(); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      String prefix = path.substring(0, end);
      if (injectors.containsKey(prefix)) {
        return prefix;
      }
      if (end == 0) {
        return null;
      }
    }
    return null;
  }
}
