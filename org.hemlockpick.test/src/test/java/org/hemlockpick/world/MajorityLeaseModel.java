package org.hemlockpick.world;

import java.util.List;

/**
 * Models a worker lease that needs promises from a majority of the availability zone's entry
 * instances, alongside the leases of the world. Promises take no time and are never lost.
 */
final class MajorityLeaseModel {
  static final long TTL_MILLIS = 4_000;
  private static final long RENEWAL_MILLIS = 1_000;

  /** The promise that one entry instance has given and the lease that it has obtained. */
  private static final class Candidate {
    final EntryNode node;
    String promisedTo = "";
    long promisedUntil;
    long heldUntil;

    Candidate(EntryNode node) {
      this.node = node;
    }

    boolean isRunning() {
      return !node.dead && !node.paused;
    }

    boolean promise(String name, long now) {
      if (!promisedTo.equals(name) && now < promisedUntil) {
        return false;
      }
      promisedTo = name;
      promisedUntil = now + TTL_MILLIS;
      return true;
    }
  }

  private final World world;
  private final List<Candidate> candidates;

  MajorityLeaseModel(World world, String zone) {
    this.world = world;
    candidates = world.entriesOf(zone).stream().map(Candidate::new).toList();
    candidates.forEach(this::run);
  }

  /** Returns whether a live entry instance may use the worker now. */
  boolean isHeld() {
    long now = world.time.millis();
    return candidates.stream().anyMatch(c -> !c.node.dead && now < c.heldUntil);
  }

  private void run(Candidate candidate) {
    if (candidate.isRunning()) {
      requestPromises(candidate, world.time.millis());
    }
    world.time.after(RENEWAL_MILLIS, () -> run(candidate));
  }

  private void requestPromises(Candidate candidate, long now) {
    long promises =
        candidates.stream()
            .filter(Candidate::isRunning)
            .filter(other -> other.promise(candidate.node.name, now))
            .count();
    if (promises > candidates.size() / 2) {
      candidate.heldUntil = now + TTL_MILLIS;
    }
  }
}
