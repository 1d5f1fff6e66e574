package org.hemlockpick.internal.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.internal.ownership.Worker;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.hemlockpick.lib.InstanceSettings;

/**
 * Routes waiting requests to a worker whose lease this entry instance holds, else to a peer of the
 * availability zone with free slots, else, after a short wait, to a peer of another availability
 * zone. A request that has waited too long is refused.
 *
 * <p>While this availability zone is evacuated, requests are forwarded to other zones at once, and
 * those forwarded by peers are refused as not run, so that their senders try elsewhere.
 */
final class RoutingSystem implements LoopSystem {
  /** Maximum wait for a slot, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 250;

  /** Wait before a request may be forwarded to another availability zone, in milliseconds. */
  private static final long REMOTE_AFTER_MILLIS = 50;

  /**
   * Wait before a request under which a connection broke may go to the same worker, in
   * milliseconds; longer than that for a peer of another availability zone.
   */
  private static final long TRIED_AGAIN_AFTER_MILLIS = 2 * REMOTE_AFTER_MILLIS;

  /** Number of requests without an eligible peer after which a tick stops looking for peers. */
  private static final int MAX_UNPLACEABLE_PER_TICK = 4;

  /** Divisor of a request's time limit that gives the longest wait for a slot. */
  private static final int TIMEOUT_DIVISOR_FOR_WAIT = 4;

  private final InstanceSettings settings;
  private final PeerTable peers;
  private final WorkerTable workers;
  private final ServingZones zones;
  private final RequestTable requests;
  private final RoutingPolicy policy;
  private final DispatchSystem dispatch;
  private final ForwardSystem forwards;
  private final RequestFinisher finisher;

  RoutingSystem(
      InstanceSettings settings,
      PeerTable peers,
      WorkerTable workers,
      ServingZones zones,
      RequestTable requests,
      RoutingPolicy policy,
      DispatchSystem dispatch,
      ForwardSystem forwards,
      RequestFinisher finisher) {
    this.settings = settings;
    this.peers = peers;
    this.workers = workers;
    this.zones = zones;
    this.requests = requests;
    this.policy = policy;
    this.dispatch = dispatch;
    this.forwards = forwards;
    this.finisher = finisher;
  }

  @Override
  public void run(long now) {
    refuseOverdue(now);
    if (!zones.includeOwn()) {
      refuseEvacuated(now);
    }
    placeAtWorkers(now);
    placeAtPeers(now);
  }

  /**
   * Returns the number of free slots of the workers whose lease this entry instance holds; 0 while
   * this availability zone is evacuated.
   */
  int freeSlots(long now) {
    if (!zones.includeOwn()) {
      return 0;
    }
    return workers.all().stream().mapToInt(worker -> worker.freeSlots(now)).sum();
  }

  /**
   * Returns how many requests may be running in an availability zone, as far as is known here: at
   * the workers whose lease this entry instance holds and at the peers that it forwarded to.
   */
  int runningIn(String zone, long now) {
    int running = 0;
    if (zone.equals(settings.zone())) {
      running = workers.held(now).stream().mapToInt(Worker::slotsUsed).sum();
    }
    for (Request request : requests.inState(RequestState.FORWARDED)) {
      Peer peer = request.peer == null ? null : peers.find(request.peer);
      if (peer != null && peer.zone().equals(zone)) {
        running++;
      }
    }
    return running;
  }

  private void placeAtWorkers(long now) {
    List<Worker> free = freeWorkers(now);
    while (!free.isEmpty()) {
      List<Worker> current = free;
      Request request = requests.waiting().peek(each -> mayTakeOneOf(current, each, now));
      if (request == null) {
        return;
      }
      requests.waiting().serve(request);
      dispatch.send(request, policy.choose(preferUntried(free, request), now), now);
      free = freeWorkers(now);
    }
  }

  private List<Worker> freeWorkers(long now) {
    if (!zones.includeOwn()) {
      return List.of();
    }
    return workers.all().stream().filter(worker -> worker.freeSlots(now) > 0).toList();
  }

  /**
   * Returns whether a request may go to one of the free workers here. One under which a connection
   * broke first waits for a worker of a peer, if all of these were tried.
   */
  private static boolean mayTakeOneOf(List<Worker> free, Request request, long now) {
    return request.brokenConnections == 0
        || now - request.waitingSince >= TRIED_AGAIN_AFTER_MILLIS
        || free.stream().anyMatch(worker -> !request.excludedWorkers.contains(worker.name()));
  }

  /**
   * Forwards callers' requests; requests forwarded by peers keep waiting here, since a forward goes
   * one hop.
   */
  private void placeAtPeers(long now) {
    Set<Request> unplaceable = new HashSet<>();
    while (unplaceable.size() < MAX_UNPLACEABLE_PER_TICK) {
      Request request = requests.waiting().peek(r -> !r.isForwarded() && !unplaceable.contains(r));
      if (request == null) {
        return;
      }
      Optional<Peer> peer = choosePeer(request, now);
      if (peer.isEmpty()) {
        unplaceable.add(request);
        continue;
      }
      requests.waiting().serve(request);
      forwards.forward(request, peer.get(), now);
    }
  }

  private static List<Worker> preferUntried(List<Worker> free, Request request) {
    List<Worker> untried =
        free.stream().filter(w -> !request.excludedWorkers.contains(w.name())).toList();
    return untried.isEmpty() ? free : untried;
  }

  private Optional<Peer> choosePeer(Request request, long now) {
    Map<String, Integer> forwarded = new HashMap<>();
    for (Request open : requests.inState(RequestState.FORWARDED)) {
      if (open.peer != null) {
        forwarded.merge(open.peer, 1, Integer::sum);
      }
    }
    if (zones.includeOwn()) {
      Optional<Peer> local = withMostFreeSlots(peers.aliveInZone(now), request, forwarded);
      if (local.isPresent() || now - request.waitingSince < REMOTE_AFTER_MILLIS) {
        return local;
      }
    }
    List<Peer> remote =
        peers.alive(now).stream()
            .filter(peer -> !peer.zone().equals(settings.zone()) && zones.includeZoneOf(peer))
            .toList();
    return withMostFreeSlots(remote, request, forwarded);
  }

  private static Optional<Peer> withMostFreeSlots(
      List<Peer> candidates, Request request, Map<String, Integer> forwarded) {
    Comparator<Peer> byFree = Comparator.comparingInt(peer -> unclaimedSlots(peer, forwarded));
    return candidates.stream()
        .filter(peer -> !request.excludedPeers.contains(peer.name()))
        .filter(peer -> unclaimedSlots(peer, forwarded) > 0)
        .max(byFree);
  }

  private static int unclaimedSlots(Peer peer, Map<String, Integer> forwarded) {
    return peer.heartbeat().getFreeSlots() - forwarded.getOrDefault(peer.name(), 0);
  }

  private void refuseOverdue(long now) {
    for (Request request : requests.waiting().all()) {
      long wait = now - request.waitingSince;
      long limit =
          Math.min(
              MAX_WAIT_MILLIS, (request.deadline - request.admittedAt) / TIMEOUT_DIVISOR_FOR_WAIT);
      if (wait >= limit) {
        finisher.finishUnsent(request, refusalCode(now));
      }
    }
  }

  private void refuseEvacuated(long now) {
    boolean noneLeft = zones.areNone(now);
    for (Request request : requests.waiting().all()) {
      if (request.isForwarded()) {
        // Peers of any software version know this code as not run.
        finisher.finishUnsent(request, ResultCode.NO_WORKER);
      } else if (noneLeft) {
        finisher.finishUnsent(request, ResultCode.EVACUATED);
      }
    }
  }

  private ResultCode refusalCode(long now) {
    boolean anyWorker = workers.all().stream().anyMatch(worker -> worker.accepts(now));
    boolean anyPeer =
        peers.aliveInZone(now).stream().anyMatch(p -> p.heartbeat().getWorkersCount() > 0);
    return anyWorker || anyPeer ? ResultCode.OVERLOADED : ResultCode.NO_WORKER;
  }
}
