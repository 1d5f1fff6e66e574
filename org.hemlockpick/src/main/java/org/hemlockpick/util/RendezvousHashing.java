package org.hemlockpick.util;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks candidates for a key by rendezvous hashing: every process with the same candidates computes
 * the same ranking, and removing a candidate moves only the keys for which it ranked first.
 */
public final class RendezvousHashing {
  private RendezvousHashing() {}

  /**
   * Ranks candidates for a key.
   *
   * @param key key to place
   * @param candidates names of the candidates, in any order
   * @return the candidates, best first; empty if there are none
   */
  public static List<String> rank(String key, Collection<String> candidates) {
    return candidates.stream()
        .sorted(
            Comparator.comparingLong((String candidate) -> weight(key, candidate))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  private static long weight(String key, String candidate) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(candidate, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
