package org.hemlockpick.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/** Finds the stand-in that a path belongs to. */
final class MountTable {
  private final Map<String, FaultGate> gates = new ConcurrentHashMap<>();

  /** Adds a stand-in under a prefix without a slash at its end; empty for the root. */
  void put(String prefix, FaultGate gate) {
    gates.put(prefix, gate);
  }

  @Nullable FaultGate get(String prefix) {
    return gates.get(prefix);
  }

  void remove(String prefix) {
    gates.remove(prefix);
  }

  /** Returns the longest prefix of a path that has a stand-in, or null. */
  @Nullable String prefix(String path) {
    for (int end = path.length(); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      String prefix = path.substring(0, end);
      if (gates.containsKey(prefix)) {
        return prefix;
      }
      if (end == 0) {
        return null;
      }
    }
    return null;
  }
}
