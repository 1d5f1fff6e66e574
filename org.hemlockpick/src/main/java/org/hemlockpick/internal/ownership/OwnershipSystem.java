package org.hemlockpick.internal.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.WorkerCalls;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.CallFate;
import org.hemlockpick.proto.FencedRequest;
import org.hemlockpick.proto.LeaseCall;
import org.hemlockpick.proto.LeaseReply;
import org.hemlockpick.proto.OwnedWorker;
import org.hemlockpick.proto.RequestFate;
import org.hemlockpick.proto.RunningRequest;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;

/**
 * Acquires, renews and hands over the leases of workers.
 *
 * <p>The worker is the arbiter of its own lease: a lease is valid for a bounded time, a new holder
 * gets a higher epoch, and the worker refuses work under any other epoch. Neither the table service
 * nor another entry instance is needed. Which entry instance asks for which worker follows from
 * rendezvous hashing over the live entry instances of the availability zone.
 */
public final class OwnershipSystem implements LoopSystem {
  /**
   * Minimum delay before an unanswered or denied request for a lease is retried, in milliseconds.
   */
  private static final long RETRY_MILLIS = 300;

  /** Delay before an unanswered renewal is retried, in milliseconds. */
  private static final long RENEWAL_RETRY_MILLIS = 100;

  private static final long ACQUIRE_DELAY_PER_RANK_MILLIS = 5_000;
  private static final long MIN_ALIVE_BEFORE_HANDOVER_MILLIS = 5_000;
  private static final long MAX_RELEASE_DRAIN_MILLIS = 2_000;

  private final InstanceSettings settings;
  private final Timing timing;
  private final Outbox outbox;
  private final WorkerCalls calls;
  private final PeerTable peers;
  private final WorkerTable workers;
  private final List<LeaseListener> listeners = new ArrayList<>();
  private final List<FenceSource> fenceSources = new ArrayList<>();
  private final List<RecordedTaskSource> recordedTaskSources = new ArrayList<>();
  private final OwnerRanking ownerRanking = new OwnerRanking();
  private Runnable releaseNotice = () -> {};
  private long lastSequence;
  private boolean stopping;

  /** Creates the system; it holds no lease yet. */
  public OwnershipSystem(
      InstanceSettings settings,
      Outbox outbox,
      WorkerCalls calls,
      PeerTable peers,
      WorkerTable workers) {
    this.settings = settings;
    this.timing = settings.timing();
    this.outbox = outbox;
    this.calls = calls;
    this.peers = peers;
    this.workers = workers;
  }

  /** Adds a listener; listeners are called in the order in which they were added. */
  public void addListener(LeaseListener listener) {
    listeners.add(listener);
  }

  /** Adds a source of attempts whose outcome workers are asked for. */
  public void addFenceSource(FenceSource source) {
    fenceSources.add(source);
  }

  /** Adds a source of finished attempts that workers may forget. */
  public void addRecordedTaskSource(RecordedTaskSource source) {
    recordedTaskSources.add(source);
  }

  /** Sets the action that notifies the peers at once after a worker was released. */
  public void setReleaseNotice(Runnable releaseNotice) {
    this.releaseNotice = releaseNotice;
  }

  /** Returns a new sequence number for an attempt, unique within this incarnation. */
  public long nextSequence() {
    return ++lastSequence;
  }

  /** Makes the next lease call to a worker due now. */
  public void renewSoon(Worker worker) {
    worker.bringLeaseCallForward(outbox.now());
  }

  /** Stops waiting for the answer to an attempt; its slot stays occupied until proved free. */
  public void abandon(String worker, long sequence) {
    Worker found = workers.find(worker);
    if (found != null) {
      found.abandon(sequence);
    }
  }

  /** Releases all workers and acquires no more. */
  public void stop() {
    stopping = true;
  }

  /** Returns whether this entry instance holds no lease. */
  public boolean holdsNoLease(long now) {
    return workers.held(now).isEmpty();
  }

  /** Returns the workers whose leases are held, as heartbeats list them. */
  public List<OwnedWorker> ownedWorkers(long now) {
    return workers.held(now).stream()
        .map(
            worker ->
                OwnedWorker.newBuilder()
                    .setWorker(worker.name())
                    .setEpoch(worker.epoch())
                    .setFreeSlots(worker.freeSlots(now))
                    .build())
        .toList();
  }

  @Override
  public void run(long now) {
    List<Peer> alive = peers.aliveInZone(now);
    ownerRanking.setCandidates(candidates(alive));
    Set<String> claimed = claimedByPeers(alive);
    for (Worker gone : workers.removeGone(now, 2 * timing.leaseTtl().toMillis(), claimed)) {
      outbox.event("worker-gone", gone.name(), "not listed, silent and claimed by nobody");
      ownerRanking.forget(gone.name());
      listeners.forEach(listener -> listener.gone(gone));
    }
    for (Worker worker : List.copyOf(workers.all())) {
      runWorker(worker, claimed, now);
    }
  }

  private void runWorker(Worker worker, Set<String> claimed, long now) {
    if (worker.epoch() != 0 && !worker.isHeld(now)) {
      dropLease(worker, "lease lapsed");
    }
    if (worker.epoch() == 0) {
      if (worker.isLeaseCallDue(now) && shouldAcquire(worker, claimed, now)) {
        sendLeaseCall(worker, false, now);
      }
      return;
    }
    if (!worker.isReleasing() && shouldHandOver(worker, now)) {
      worker.beginRelease(now);
      worker.bringLeaseCallForward(now);
    }
    if (worker.isLeaseCallDue(now)) {
      sendLeaseCall(worker, worker.isReleasing() && isDrained(worker, now), now);
    }
  }

  private boolean shouldAcquire(Worker worker, Set<String> claimed, long now) {
    if (stopping || claimed.contains(worker.name()) || !worker.isListed()) {
      return false;
    }
    int rank = ownerRanking.ranking(worker.name()).indexOf(settings.name());
    return now - worker.unclaimedSince(now) >= rank * ACQUIRE_DELAY_PER_RANK_MILLIS;
  }

  private boolean shouldHandOver(Worker worker, long now) {
    if (stopping) {
      return true;
    }
    String preferred = ownerRanking.ranking(worker.name()).get(0);
    Peer peer = peers.find(preferred);
    return peer != null && now - peer.aliveSince() >= MIN_ALIVE_BEFORE_HANDOVER_MILLIS;
  }

  private List<String> candidates(List<Peer> alive) {
    List<String> candidates = new ArrayList<>();
    candidates.add(settings.name());
    for (Peer peer : alive) {
      if (peer.heartbeat().getReady() && !peer.heartbeat().getLeaving()) {
        candidates.add(peer.name());
      }
    }
    return candidates;
  }

  private Set<String> claimedByPeers(List<Peer> alive) {
    Set<String> claimed =
        alive.stream()
            .flatMap(peer -> peer.heartbeat().getWorkersList().stream())
            .map(OwnedWorker::getWorker)
            .collect(Collectors.toSet());
    long now = outbox.now();
    workers.all().forEach(worker -> worker.setClaimed(claimed.contains(worker.name()), now));
    return claimed;
  }

  private boolean isDrained(Worker worker, long now) {
    return worker.openAttempts().isEmpty()
        || now - worker.releasingSince() >= MAX_RELEASE_DRAIN_MILLIS;
  }

  private void sendLeaseCall(Worker worker, boolean release, long now) {
    LeaseCall.Builder lease =
        LeaseCall.newBuilder()
            .setOwner(settings.name())
            .setIncarnation(outbox.incarnation())
            .setEpoch(worker.epoch())
            .setTtlMillis((int) timing.leaseTtl().toMillis())
            .setRelease(release)
            .setSettledBelow(worker.settledBelow(lastSequence + 1));
    for (RequestAttempt attempt : attemptsToFence(worker, now)) {
      lease.addFenceRequests(
          RunningRequest.newBuilder().setEpoch(attempt.epoch()).setSequence(attempt.sequence()));
    }
    recordedTaskSources.forEach(source -> lease.addAllRecordedTasks(source.recorded(worker)));
    WorkerCall.Builder call =
        WorkerCall.newBuilder()
            .setWorker(worker.name())
            .setAddress(worker.address())
            .setTimeoutMillis((int) timing.workerTimeout().toMillis())
            .setFreshConnection(worker.takeFreshConnection())
            .setLease(lease);
    worker.beginLeaseCall();
    long epoch = worker.epoch();
    calls.send(call, reply -> onReply(worker, epoch, release, now, reply));
  }

  private List<RequestAttempt> attemptsToFence(Worker worker, long now) {
    List<RequestAttempt> attempts = new ArrayList<>(worker.abandonedAttempts());
    fenceSources.forEach(source -> attempts.addAll(source.attemptsToFence(worker, now)));
    return attempts;
  }

  private void onReply(Worker worker, long epoch, boolean release, long sentAt, WorkerReply reply) {
    long now = outbox.now();
    if (reply.getFate() != CallFate.ANSWERED || !reply.hasLease()) {
      onNoAnswer(worker, epoch, release, now);
      return;
    }
    worker.recordContact(now);
    LeaseReply lease = reply.getLease();
    if (release) {
      worker.endLeaseCall(now + timing.leaseTtl().toMillis());
      dropLease(worker, "released");
      releaseNotice.run();
      return;
    }
    if (!lease.getGranted()) {
      worker.endLeaseCall(now + Math.max(RETRY_MILLIS, lease.getRemainingMillis()));
      if (epoch != 0 && worker.epoch() == epoch) {
        dropLease(worker, "held by " + lease.getHolder());
      }
      return;
    }
    if (epoch != worker.epoch()) {
      worker.endLeaseCall(now);
      return;
    }
    worker.endLeaseCall(sentAt + timing.leaseRenewal().toMillis());
    applyGrant(worker, lease, sentAt + timing.usableLeaseMillis());
  }

  private void onNoAnswer(Worker worker, long epoch, boolean release, long now) {
    worker.requireFreshConnection();
    outbox.resetWorker(worker.name());
    worker.endLeaseCall(now + (epoch == 0 ? RETRY_MILLIS : RENEWAL_RETRY_MILLIS));
    if (release && worker.epoch() == epoch) {
      dropLease(worker, "release not answered");
    }
  }

  private void applyGrant(Worker worker, LeaseReply lease, long usableUntil) {
    String previousBoot = worker.boot();
    boolean restarted = worker.updateBoot(lease.getBoot());
    boolean newEpoch = worker.epoch() != lease.getEpoch();
    worker.grant(lease, usableUntil);
    worker.dropSupersededAttempts(lease.getRunningRequestsList());
    if (restarted) {
      outbox.event("worker-restarted", worker.name(), worker.boot());
      listeners.forEach(listener -> listener.restarted(worker, previousBoot));
    }
    if (newEpoch) {
      outbox.event("lease-granted", worker.name(), "epoch " + worker.epoch());
      listeners.forEach(listener -> listener.granted(worker));
    }
    for (FencedRequest fenced : lease.getFencedList()) {
      listeners.forEach(listener -> listener.fenced(worker, fenced));
      settleAbandoned(worker, fenced);
    }
    listeners.forEach(listener -> listener.reported(worker));
  }

  private static void settleAbandoned(Worker worker, FencedRequest fenced) {
    boolean ended =
        fenced.getFate() == RequestFate.NEVER_SEEN || fenced.getFate() == RequestFate.FINISHED;
    if (ended && worker.isAbandoned(fenced.getSequence())) {
      worker.settle(fenced.getSequence());
    }
  }

  private void dropLease(Worker worker, String reason) {
    outbox.event("lease-lost", worker.name(), "epoch " + worker.epoch() + ": " + reason);
    worker.clearLease();
    listeners.forEach(listener -> listener.lost(worker));
  }
}
