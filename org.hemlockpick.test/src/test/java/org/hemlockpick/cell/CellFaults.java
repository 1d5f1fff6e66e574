package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * Strikes a world of entry instances with single faults of the platform, the workers and the
 * processes, and ends them. Faults overlap; each of a kind that is named for a while ends by
 * itself.
 */
final class CellFaults {
  /** Time after which a worker that has left is back with a new boot, in milliseconds. */
  private static final long RETURN_MILLIS = 4_000;

  /** Time for which a draining worker stays, in milliseconds. */
  private static final long DRAIN_MILLIS = 3_000;

  /** Remaining time that a worker tells that leaves much sooner, in milliseconds. */
  private static final long SPOT_TOLD_MILLIS = 20_000;

  /** Longest delay of a write of the platform's store that is not answered, in milliseconds. */
  private static final long MAX_WRITE_DELAY_MILLIS = 6_000;

  private static final double WRITE_LOSS_PROBABILITY = 0.3;
  private static final double LATE_ORDER_PROBABILITY = 0.1;

  /** Time of an answer of a slow store, in milliseconds: 50 times as long. */
  private static final long SLOW_ANSWER_MILLIS = 200;

  /** Time that a busy part takes for each transaction, in milliseconds. */
  private static final long BUSY_TRANSACTION_MILLIS = 150;

  /** Time between two ticks of a slow process, in milliseconds. */
  private static final long SLOW_TICK_MILLIS = 150;

  /** Time for which watches hear nothing before the history is lost, in milliseconds. */
  private static final long SILENT_WATCH_MILLIS = 1_000;

  /** Time for which workers are slow after an evacuation, in milliseconds. */
  private static final long COLD_MILLIS = 3_000;

  private static final long SLOWDOWN = 4;
  private static final int MAX_ADDED_WORKERS = 3;
  private static final int MAX_LOST_WORKERS = 2;
  private static final ResourceAmounts SMALL = new ResourceAmounts(4_000, 8_000, 0);
  private static final ResourceAmounts LARGE = new ResourceAmounts(12_000, 32_000, 0);

  private final CellWorld world;
  private final SplittableRandom random;
  private final List<String> workers = new ArrayList<>();

  /** Workers that leave or have left, until they are back, with the times at which they leave. */
  private final Map<String, Long> leaving = new LinkedHashMap<>();

  private int added;
  private int lost;
  private boolean hasAddedInstance;

  /**
   * Creates the faults of a world.
   *
   * @param random generator of the test, of which as much is drawn as a kind needs
   */
  CellFaults(CellWorld world, SplittableRandom random, int workerCount) {
    this.world = world;
    this.random = random;
    for (int i = 0; i < workerCount; i++) {
      workers.add("w" + i);
    }
  }

  /**
   * What a fault strikes.
   *
   * @param millis draws the duration of a fault in milliseconds
   * @param brief draws a short duration in milliseconds
   */
  record Target(CellWorld.Node node, String worker, LongSupplier millis, LongSupplier brief) {}

  /** Kinds of faults. */
  enum Kind {
    /** A process ends at once, until all is healed. */
    KILL((faults, target) -> target.node().kill()),
    KILL_FOR_A_WHILE(CellFaults::killForAWhile),
    KILL_ALL(CellFaults::killAll),
    /** The process that confirms the next job ends within 4 ms, or all of them do. */
    KILL_AFTER_ACCEPTANCE(CellFaults::killAfterAcceptance),
    /** All processes are stopped as planned, one after the other. */
    ROLL(CellFaults::roll),
    PAUSE_BRIEFLY(
        (faults, target) -> target.node().incarnation().pause(target.brief().getAsLong())),
    PAUSE((faults, target) -> target.node().incarnation().pause(target.millis().getAsLong())),
    PAUSE_BEFORE_SENDING(
        (faults, target) ->
            target.node().incarnation().pauseBeforeSending(target.millis().getAsLong() / 2)),
    /** A process stands still between its next commit and the answer to it. */
    PAUSE_AFTER_COMMIT(CellFaults::pauseAfterCommit),
    SLOW_PROCESS_FOR_A_WHILE(CellFaults::slowProcess),
    SUSPEND((faults, target) -> target.node().suspend(target.millis().getAsLong())),
    START_ALONGSIDE(CellFaults::startAlongside),
    STOP_AS_PLANNED(CellFaults::stopAsPlanned),
    HOLD_ORDERS(CellFaults::holdOrders),
    ADD_INSTANCE((faults, target) -> faults.addInstance()),

    /** An instance is cut off from the store, until all is healed. */
    CUT_STORE((faults, target) -> target.node().storeView.disconnected = true),
    /** The same, ended by the next one. */
    SWITCH_STORE_LINK(
        (faults, target) ->
            target.node().storeView.disconnected = !target.node().storeView.disconnected),
    CUT_STORE_FOR_A_WHILE(CellFaults::cutStoreForAWhile),
    /** An instance is cut off from the store and from all workers. */
    CUT_INSTANCE_FOR_A_WHILE(CellFaults::cutInstanceForAWhile),
    /** The store turns away one instance, or all but one, at once. */
    TURN_AWAY_FOR_A_WHILE(CellFaults::turnAwayForAWhile),
    SWITCH_STORE((faults, target) -> faults.world.store.unresponsive ^= true),
    SILENCE_STORE_FOR_A_WHILE(CellFaults::silenceStoreForAWhile),
    /** The entries of all workers are lost while the store is silent. */
    LAPSE_ENTRIES(CellFaults::lapseEntries),
    SLOW_STORE_FOR_A_WHILE(CellFaults::slowStoreForAWhile),
    BUSY_STORE_FOR_A_WHILE(CellFaults::busyStoreForAWhile),
    /** Writes are carried out late and not answered, until all is healed. */
    LOSE_WRITES((faults, target) -> faults.loseWrites()),
    LOSE_WRITES_FOR_A_WHILE(CellFaults::loseWritesForAWhile),
    /** Watches hear nothing while a worker leaves the list; then the history is lost. */
    HIDE_CHANGES(CellFaults::hideChanges),
    FORGET_HISTORY((faults, target) -> faults.world.store.forgetHistory()),

    /** An instance is cut off from all workers, until the next one. */
    SWITCH_WORKER_LINKS(
        (faults, target) ->
            target.node().workerView.disconnected = !target.node().workerView.disconnected),
    /** An instance is cut off from a worker, until all is healed. */
    CUT_WORKER((faults, target) -> target.node().workerView.unreachable.add(target.worker())),
    CUT_WORKER_FOR_A_WHILE(CellFaults::cutWorkerForAWhile),
    /** An instance is cut off from half of the workers. */
    CUT_WORKERS_FOR_A_WHILE(CellFaults::cutWorkersForAWhile),
    /** A worker is cut off from all, until the next one. */
    SWITCH_WORKER((faults, target) -> faults.model(target).disconnected ^= true),
    /** A worker is cut off from all and starts again meanwhile. */
    RESTART_BEHIND_CUT(CellFaults::restartBehindCut),
    LOSE_ANSWERS((faults, target) -> faults.model(target).answersLost = true),
    LOSE_ANSWERS_FOR_A_WHILE(CellFaults::loseAnswersForAWhile),
    LOSE_STARTS((faults, target) -> target.node().workerView.startsLost = true),
    LEAVE_STOPS_UNANSWERED((faults, target) -> target.node().workerView.stopsUnanswered = true),
    DELAY_ORDERS_SELDOM(
        (faults, target) -> faults.world.workers.lateOrderProbability = LATE_ORDER_PROBABILITY),
    DELAY_ORDERS(
        (faults, target) -> faults.world.workers.lateOrderProbability = 2 * LATE_ORDER_PROBABILITY),
    DELAY_ORDERS_FOR_A_WHILE(CellFaults::delayOrdersForAWhile),

    RESTART_WORKER((faults, target) -> faults.model(target).restart()),
    RESTART_WORKER_AT_TIMES(CellFaults::restartWorkerAtTimes),
    CRASH((faults, target) -> faults.model(target).crash()),
    /** Half of the workers crash at once. */
    CRASH_SEVERAL(CellFaults::crashSeveral),
    /** A worker is lost for good, and another one is added; twice at most. */
    LOSE_WORKER(CellFaults::loseWorker),
    REMOVE_ENTRY((faults, target) -> faults.world.store.remove("workers", target.worker())),
    HIDE_ENTRY(CellFaults::hideEntry),
    /** The runs of a worker stand still; it answers. */
    FREEZE_RUNS((faults, target) -> faults.model(target).freeze(target.millis().getAsLong())),
    FAIL_RUNS(CellFaults::failRuns),
    SLOW_RUNS(CellFaults::slowRuns),
    REFUSE_STARTS(CellFaults::refuseStarts),
    REFUSE_CONNECTIONS(CellFaults::refuseConnections),
    SLOW_REPLIES(CellFaults::slowReplies),
    /** The capacity of a worker changes, and changes back. */
    RESIZE(CellFaults::resize),
    /** A worker drains and leaves for good, until all is healed; two of them at most. */
    DRAIN(CellFaults::drain),
    /** Two workers drain at once, and are back later. */
    DRAIN_AND_RETURN(CellFaults::drainAndReturn),
    /** All workers drain at once, and are back later. */
    DRAIN_ALL((faults, target) -> faults.drainAll()),
    /** A worker drains and is gone much sooner than it told. */
    LEAVE_EARLY(CellFaults::leaveEarly),
    ADD_WORKER((faults, target) -> faults.addWorker()),

    HEAL((faults, target) -> faults.heal()),

    /**
     * The zone of a worker is evacuated, and its workers are slow afterwards. The last kind: those
     * before it are what any kind is drawn from, and their number belongs to the seeds.
     */
    EVACUATE(CellFaults::evacuate);

    @SuppressWarnings("ImmutableEnumChecker") // All are functions without a state.
    private final BiConsumer<CellFaults, Target> effect;

    Kind(BiConsumer<CellFaults, Target> effect) {
      this.effect = effect;
    }
  }

  /** Strikes once; where the worker is gone for good, another one instead. */
  void strike(Kind kind, Target target) {
    boolean isThere = workers.contains(target.worker());
    String worker = isThere ? target.worker() : workers.get(0);
    kind.effect.accept(this, new Target(target.node(), worker, target.millis(), target.brief()));
  }

  /**
   * Ends all faults but those that end by themselves, as pauses, suspensions and crashes do: starts
   * processes that are down or stopping, and lists all workers.
   */
  void heal() {
    FakeStore store = world.store;
    store.unresponsive = false;
    store.watchesSilent = false;
    store.lossProbability = 0;
    store.transactionMillis = 0;
    store.latencyMillis = FakeStore.LATENCY_MILLIS;
    world.workers.lateOrderProbability = 0;
    world.evacuations.endAll();
    world.nodes.forEach(CellFaults::heal);
    for (String worker : workers) {
      heal(worker);
    }
  }

  private static void heal(CellWorld.Node node) {
    if (node.process == null) {
      node.start();
    } else if (node.incarnation().cell.isStopping()) {
      node.incarnation().kill();
      node.start();
    }
    node.storeView.disconnected = false;
    node.storeView.turnsAway = false;
    node.workerView.disconnected = false;
    node.workerView.unreachable.clear();
    node.workerView.startsLost = false;
    node.workerView.stopsUnanswered = false;
  }

  /** Heals a worker, unless it still drains. */
  private void heal(String worker) {
    FakeWorkers.Model model = world.workers.get(worker);
    Long leavesAt = leaving.get(worker);
    if (leavesAt != null && world.time.millis() <= leavesAt) {
      return;
    }
    model.answersLost = false;
    model.failsRuns = false;
    model.refusesStarts = false;
    model.slowdown = 1;
    model.replyMillis = FakeWorkers.LATENCY_MILLIS;
    if (leaving.remove(worker) != null) {
      model.restart();
    }
    model.disconnected = false;
    register(worker);
  }

  private FakeWorkers.Model model(Target target) {
    return world.workers.get(target.worker());
  }

  /** Writes the entry of a worker, unless it leaves or is gone. */
  private void register(String worker) {
    if (!leaving.containsKey(worker) && !world.workers.get(worker).gone) {
      world.registerWorker(worker);
    }
  }

  private void killForAWhile(Target target) {
    CellWorld.Node node = target.node();
    node.kill();
    world.time.after(target.millis().getAsLong(), () -> startIfDown(node));
  }

  private void killAll(Target target) {
    world.nodes.forEach(CellWorld.Node::killAll);
    for (CellWorld.Node node : world.nodes) {
      world.time.after(target.brief().getAsLong(), () -> startIfDown(node));
    }
  }

  private void killAfterAcceptance(Target target) {
    boolean all = random.nextInt(3) == 0;
    long millis = random.nextLong(5);
    world.onAcknowledged.add(
        new BiConsumer<>() {
          @Override
          public void accept(String job, CellWorld.Node node) {
            world.onAcknowledged.remove(this);
            world.time.after(millis, () -> kill(all ? world.nodes : List.of(node), target));
          }
        });
  }

  private void kill(List<CellWorld.Node> nodes, Target target) {
    nodes.forEach(CellWorld.Node::killAll);
    world.time.after(target.millis().getAsLong(), () -> nodes.forEach(CellFaults::startIfDown));
  }

  private void pauseAfterCommit(Target target) {
    CellWorld.Incarnation incarnation = target.node().incarnation();
    long millis = target.millis().getAsLong();
    incarnation.storeView.afterNextCommit(() -> incarnation.pause(millis));
  }

  private void slowProcess(Target target) {
    CellWorld.Incarnation incarnation = target.node().incarnation();
    incarnation.tickMillis = SLOW_TICK_MILLIS;
    world.time.after(
        target.millis().getAsLong(), () -> incarnation.tickMillis = CellWorld.TICK_MILLIS);
  }

  private void addInstance() {
    if (!hasAddedInstance) {
      hasAddedInstance = true;
      world.addNode();
    }
  }

  private static void startIfDown(CellWorld.Node node) {
    if (node.process == null) {
      node.start();
    }
  }

  private void roll(Target target) {
    long at = 0;
    for (CellWorld.Node node : world.nodes) {
      world.time.after(at, () -> stop(node, 0, false));
      at += 500 + target.brief().getAsLong();
    }
  }

  /**
   * Starts a process while the old one runs on for a while, as one that was told to stop or was
   * forgotten.
   */
  private void startAlongside(Target target) {
    boolean planned = random.nextBoolean();
    CellWorld.Incarnation previous = target.node().startAlongside();
    if (planned) {
      previous.cell.beginStop();
    }
    world.time.after(target.millis().getAsLong(), previous::kill);
  }

  /** Stops a process as planned; the replies to what it stores at the end are lost. */
  private void stopAsPlanned(Target target) {
    stop(target.node(), target.brief().getAsLong(), true);
  }

  private void stop(CellWorld.Node node, long millis, boolean repliesLost) {
    CellWorld.Incarnation incarnation = node.incarnation();
    incarnation.storeView.repliesLost = repliesLost;
    incarnation.cell.beginStop();
    world.time.after(
        1_000 + millis,
        () -> {
          incarnation.kill();
          if (node.incarnation() == incarnation) {
            node.start();
          }
        });
  }

  private void holdOrders(Target target) {
    FakeWorkers.View view = target.node().workerView;
    view.hold();
    world.time.after(target.brief().getAsLong() / 3, view::release);
  }

  private void cutStoreForAWhile(Target target) {
    FakeStore.View view = target.node().storeView;
    view.disconnected = true;
    world.time.after(target.millis().getAsLong(), () -> view.disconnected = false);
  }

  private void cutInstanceForAWhile(Target target) {
    cutStoreForAWhile(target);
    FakeWorkers.View view = target.node().workerView;
    view.disconnected = true;
    world.time.after(target.millis().getAsLong(), () -> view.disconnected = false);
  }

  private void turnAwayForAWhile(Target target) {
    boolean others = random.nextBoolean();
    long millis = target.millis().getAsLong();
    for (CellWorld.Node node : world.nodes) {
      FakeStore.View view = node.storeView;
      if ((node == target.node()) != others) {
        view.turnsAway = true;
        world.time.after(millis, () -> view.turnsAway = false);
      }
    }
  }

  private void silenceStoreForAWhile(Target target) {
    world.store.unresponsive = true;
    world.time.after(target.millis().getAsLong(), () -> world.store.unresponsive = false);
  }

  private void lapseEntries(Target target) {
    world.store.unresponsive = true;
    workers.forEach(worker -> world.store.remove("workers", worker));
    world.time.after(
        target.millis().getAsLong(),
        () -> {
          world.store.unresponsive = false;
          workers.forEach(this::register);
        });
  }

  private void slowStoreForAWhile(Target target) {
    world.store.latencyMillis = SLOW_ANSWER_MILLIS;
    world.time.after(
        target.millis().getAsLong(), () -> world.store.latencyMillis = FakeStore.LATENCY_MILLIS);
  }

  private void busyStoreForAWhile(Target target) {
    world.store.transactionMillis = BUSY_TRANSACTION_MILLIS;
    world.time.after(target.millis().getAsLong(), () -> world.store.transactionMillis = 0);
  }

  private void hideChanges(Target target) {
    world.store.watchesSilent = true;
    drainAndReturn(target);
    world.time.after(
        SILENT_WATCH_MILLIS,
        () -> {
          world.store.forgetHistory();
          world.store.watchesSilent = false;
        });
  }

  private void loseWrites() {
    world.store.lossProbability = WRITE_LOSS_PROBABILITY;
    world.store.maxDelayMillis = MAX_WRITE_DELAY_MILLIS;
  }

  private void loseWritesForAWhile(Target target) {
    loseWrites();
    world.time.after(target.millis().getAsLong(), () -> world.store.lossProbability = 0);
  }

  private void cutWorkerForAWhile(Target target) {
    cut(target.node(), target.worker(), target.millis().getAsLong());
  }

  private void cutWorkersForAWhile(Target target) {
    long millis = target.millis().getAsLong();
    for (String worker : workers) {
      if (random.nextBoolean()) {
        cut(target.node(), worker, millis);
      }
    }
  }

  private void cut(CellWorld.Node node, String worker, long millis) {
    Set<String> unreachable = node.workerView.unreachable;
    unreachable.add(worker);
    world.time.after(millis, () -> unreachable.remove(worker));
  }

  private void restartBehindCut(Target target) {
    FakeWorkers.Model model = model(target);
    model.disconnected = true;
    world.time.after(target.brief().getAsLong(), model::restart);
    world.time.after(
        target.brief().getAsLong() + target.millis().getAsLong(),
        () -> {
          model.disconnected = model.gone || leaving.containsKey(target.worker());
          register(target.worker());
        });
  }

  private void loseAnswersForAWhile(Target target) {
    FakeWorkers.Model model = model(target);
    model.answersLost = true;
    world.time.after(target.millis().getAsLong(), () -> model.answersLost = false);
  }

  private void delayOrdersForAWhile(Target target) {
    world.workers.lateOrderProbability = 2 * LATE_ORDER_PROBABILITY;
    world.time.after(target.millis().getAsLong(), () -> world.workers.lateOrderProbability = 0);
  }

  /** Restarts a worker, whose entry tells it at once or later. */
  private void restartWorkerAtTimes(Target target) {
    long millis = 750 + target.brief().getAsLong();
    boolean listed = random.nextBoolean();
    model(target).restart(millis);
    if (listed) {
      register(target.worker());
    } else {
      world.time.after(millis + 500, () -> register(target.worker()));
    }
  }

  private void crashSeveral(Target target) {
    List<String> all = List.copyOf(workers);
    int first = all.indexOf(target.worker());
    for (int i = 0; i < (all.size() + 1) / 2; i++) {
      world.workers.get(all.get((first + i) % all.size())).crash();
    }
  }

  private void loseWorker(Target target) {
    String worker = target.worker();
    if (lost == MAX_LOST_WORKERS || leaving.containsKey(worker)) {
      return;
    }
    lost++;
    workers.remove(worker);
    FakeWorkers.Model model = world.workers.get(worker);
    model.gone = true;
    model.disconnected = true;
    model.endAllRuns();
    world.time.after(target.brief().getAsLong(), () -> world.store.remove("workers", worker));
    add("b" + lost);
  }

  private void slowRuns(Target target) {
    FakeWorkers.Model model = model(target);
    model.slowdown = SLOWDOWN;
    world.time.after(target.millis().getAsLong(), () -> model.slowdown = 1);
  }

  private void refuseStarts(Target target) {
    FakeWorkers.Model model = model(target);
    model.refusesStarts = true;
    world.time.after(target.millis().getAsLong(), () -> model.refusesStarts = false);
  }

  private void hideEntry(Target target) {
    world.store.remove("workers", target.worker());
    world.time.after(target.brief().getAsLong(), () -> register(target.worker()));
  }

  private void failRuns(Target target) {
    FakeWorkers.Model model = model(target);
    model.failsRuns = true;
    world.time.after(target.millis().getAsLong(), () -> model.failsRuns = false);
  }

  private void refuseConnections(Target target) {
    FakeWorkers.Model model = model(target);
    model.refusesConnections = true;
    world.time.after(target.millis().getAsLong(), () -> model.refusesConnections = false);
  }

  private void slowReplies(Target target) {
    FakeWorkers.Model model = model(target);
    model.replyMillis = 200 + target.brief().getAsLong() / 2;
    world.time.after(
        target.millis().getAsLong(), () -> model.replyMillis = FakeWorkers.LATENCY_MILLIS);
  }

  private void resize(Target target) {
    if (leaving.containsKey(target.worker())) {
      return;
    }
    ResourceAmounts capacity = random.nextInt(3) == 0 ? LARGE : SMALL;
    writeCapacity(target.worker(), capacity, random.nextLong(500));
    long written = random.nextLong(500);
    world.time.after(
        target.millis().getAsLong(),
        () -> writeCapacity(target.worker(), CellWorld.WORKER_CAPACITY, written));
  }

  private void writeCapacity(String worker, ResourceAmounts capacity, long writtenAfterMillis) {
    world.workers.get(worker).setCapacity(capacity);
    world.time.after(writtenAfterMillis, () -> register(worker));
  }

  private void drain(Target target) {
    if (leaving.size() < 2 && !leaving.containsKey(target.worker())) {
      leaving.put(target.worker(), world.time.millis() + DRAIN_MILLIS);
      world.drainWorker(target.worker(), DRAIN_MILLIS);
    }
  }

  private void drainAndReturn(Target target) {
    int first = workers.indexOf(target.worker());
    for (int i = 0; i < 2; i++) {
      leave(workers.get((first + i) % workers.size()), DRAIN_MILLIS, DRAIN_MILLIS);
    }
  }

  private void drainAll() {
    List.copyOf(workers).forEach(worker -> leave(worker, DRAIN_MILLIS, DRAIN_MILLIS));
  }

  private void leaveEarly(Target target) {
    leave(target.worker(), SPOT_TOLD_MILLIS, 500 + target.brief().getAsLong());
  }

  private void leave(String worker, long toldMillis, long stayMillis) {
    if (leaving.containsKey(worker)) {
      return;
    }
    leaving.put(worker, world.time.millis() + stayMillis);
    // Entries of draining workers name no capacity.
    world.workers.get(worker).setCapacity(CellWorld.WORKER_CAPACITY);
    world.drainWorker(worker, toldMillis, stayMillis);
    world.time.after(stayMillis + RETURN_MILLIS, () -> returnIfAway(worker));
  }

  private void returnIfAway(String worker) {
    if (leaving.containsKey(worker)) {
      heal(worker);
    }
  }

  private void evacuate(Target target) {
    String zone = world.evacuations.zoneOf(target.worker());
    world.evacuations.begin(zone);
    world.time.after(target.millis().getAsLong(), () -> endEvacuation(zone));
  }

  private void endEvacuation(String zone) {
    for (String worker : workers) {
      if (world.evacuations.zoneOf(worker).equals(zone)) {
        world.evacuations.setCold(worker, COLD_MILLIS);
      }
    }
    world.evacuations.end(zone);
  }

  private void addWorker() {
    if (added < MAX_ADDED_WORKERS) {
      add("a" + ++added);
    }
  }

  private void add(String worker) {
    world.workers.add(worker);
    world.workers.get(worker).guardsCapacity = world.workers.get("w0").guardsCapacity;
    workers.add(worker);
    world.registerWorker(worker);
  }
}
