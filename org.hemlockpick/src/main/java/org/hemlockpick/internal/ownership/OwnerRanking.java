package org.hemlockpick.internal.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockpick.util.RendezvousHashing;

/** Ranks the entry instances for each worker; recomputed only when the candidates change. */
final class OwnerRanking {
  private final Map<String, List<String>> rankings = new HashMap<>();
  private List<String> candidates = List.of();

  /** Sets the names of the entry instances that may own workers. */
  void setCandidates(List<String> names) {
    if (!names.equals(candidates)) {
      candidates = List.copyOf(names);
      rankings.clear();
    }
  }

  /** Returns the candidates for a worker, best first. */
  List<String> ranking(String worker) {
    return rankings.computeIfAbsent(worker, name -> RendezvousHashing.rank(name, candidates));
  }

  void forget(String worker) {
    rankings.remove(worker);
  }
}
