package org.hemlockpick.internal.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.InstanceList;
import org.hemlockpick.proto.InstanceRole;
import org.hemlockpick.proto.ListedInstance;
import org.jspecify.annotations.Nullable;

/** Holds the workers of this availability zone. */
public final class WorkerTable {
  /** Maximum delay until a started instance appears in the instance list, in milliseconds. */
  static final long LIST_LAG_MILLIS = 60_000;

  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final InstanceSettings settings;
  private long firstListAt = Long.MAX_VALUE;

  /** Creates an empty table. */
  public WorkerTable(InstanceSettings settings) {
    this.settings = settings;
  }

  /** Returns all workers in the order in which they were first listed. */
  public Collection<Worker> all() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Returns the worker with this name, or null when the table has none. */
  public @Nullable Worker find(String name) {
    return workers.get(name);
  }

  /** Returns the workers whose lease this entry instance holds now. */
  public List<Worker> held(long now) {
    return workers.values().stream().filter(worker -> worker.isHeld(now)).toList();
  }

  /**
   * Returns whether a worker is proved to run nothing any more: it is not in the table, and the
   * instance list has been known for longer than it may lag behind.
   */
  public boolean isGone(String name, long now) {
    return !workers.containsKey(name) && now - firstListAt >= LIST_LAG_MILLIS;
  }

  /** Updates the table from a new instance list, which must be complete. */
  public void update(InstanceList list, long now) {
    firstListAt = Math.min(firstListAt, now);
    Set<String> listedNames = new HashSet<>();
    for (ListedInstance listed : list.getInstancesList()) {
      if (listed.getRole() == InstanceRole.WORKER && listed.getZone().equals(settings.zone())) {
        listedNames.add(listed.getName());
        workers
            .computeIfAbsent(
                listed.getName(), name -> new Worker(name, listed.getAddress(), listed.getRack()))
            .updateListing(listed.getAddress(), listed.getRack(), listed.getLeaving());
      }
    }
    for (Worker worker : workers.values()) {
      if (!listedNames.contains(worker.name())) {
        worker.markUnlisted(now);
      }
    }
  }

  /**
   * Removes and returns the workers that are proved to be gone: for the given time they were not
   * listed, did not answer and were claimed by no live peer.
   */
  List<Worker> removeGone(long now, long silenceMillis, Set<String> claimed) {
    List<Worker> gone = new ArrayList<>();
    for (Worker worker : workers.values()) {
      boolean unlisted = !worker.isListed() && now - worker.unlistedSince() >= silenceMillis;
      boolean silent = worker.lastContact() < now - silenceMillis;
      boolean unclaimed =
          !claimed.contains(worker.name()) && now - worker.unclaimedSince(now) >= silenceMillis;
      if (unlisted && silent && unclaimed && !worker.isHeld(now)) {
        gone.add(worker);
      }
    }
    gone.forEach(worker -> workers.remove(worker.name()));
    return gone;
  }
}
