package org.hemlockpick.internal.batch;

import java.util.Comparator;
import java.util.Optional;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.proto.TaskState;

/**
 * Hands over shards whose tasks do not fit on the workers owned here to a peer in the availability
 * zone with free capacity. A holder assigns tasks only to workers that it owns, and it may own few
 * or none.
 */
final class ShardHandover implements LoopSystem {
  /** Interval between handovers of one shard each, in milliseconds. */
  private static final long INTERVAL_MILLIS = 1_000;

  /**
   * Number of queued tasks for which a peer must have free capacity before a holder that owns
   * workers itself hands over a shard; fewer if the shard has fewer. A small amount of free
   * capacity does not justify moving a shard, because it changes all the time.
   */
  private static final int MAX_REQUIRED_TASKS = 16;

  private final PeerTable peers;
  private final ShardTable shards;
  private final JobTable jobs;
  private final TaskAssigner assigner;
  private long nextRun = Long.MIN_VALUE;

  ShardHandover(PeerTable peers, ShardTable shards, JobTable jobs, TaskAssigner assigner) {
    this.peers = peers;
    this.shards = shards;
    this.jobs = jobs;
    this.assigner = assigner;
  }

  @Override
  public void run(long now) {
    if (now < nextRun) {
      return;
    }
    nextRun = now + INTERVAL_MILLIS;
    Optional<Peer> freest =
        peers.aliveInZone(now).stream()
            .filter(peer -> peer.heartbeat().getReady() && !peer.heartbeat().getLeaving())
            .max(Comparator.comparingInt(peer -> peer.heartbeat().getFreeBatchCpuMillis()));
    freest.ifPresent(peer -> handOver(peer, now));
  }

  private void handOver(Peer peer, long now) {
    long free = peer.heartbeat().getFreeBatchCpuMillis();
    for (Job job : jobs.all()) {
      if (job.queued.isEmpty() || job.isCancelled()) {
        continue;
      }
      Shard last = job.queued.lastEntry().getValue().shard;
      long tasks = assigner.hasWorkers(now) ? Math.min(MAX_REQUIRED_TASKS, queued(last)) : 1;
      long required = tasks * job.need().cpuMillis();
      if (free >= required && !assigner.hasCapacity(job.need(), now)) {
        shards.handOver(last, new ShardHolder(peer.name(), peer.incarnation()));
        return;
      }
    }
  }

  private static long queued(Shard shard) {
    return shard.tasks.stream().filter(task -> task.state() == TaskState.QUEUED).count();
  }
}
