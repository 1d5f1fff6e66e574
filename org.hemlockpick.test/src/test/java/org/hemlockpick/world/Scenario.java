package org.hemlockpick.world;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.proto.CallerAnswer;

/** Executes a list of steps on a world, ends all faults and collects the breaches. */
final class Scenario {
  /** Number of contracts that {@link #startWithContracts} puts into force. */
  static final int FIRST_CONTRACTS = 2;

  static final int ZONES = 2;
  static final int ENTRIES_PER_ZONE = 3;
  static final int WORKERS_PER_ZONE = 3;
  private static final long SETTLE_MILLIS = 12_000;
  private static final long LOAD_START_MILLIS = 2_000;
  private static final long HEAL_MILLIS = 40_000;
  private static final long ANSWER_GRACE_MILLIS = 400;
  private static final long LOAD_INTERVAL_MILLIS = 25;
  private static final int BURST_REQUESTS = 60;

  /** Maximum time for which an operator's change of an evacuation may still be written. */
  private static final long PENDING_EVACUATION_MILLIS = 8_000;

  private static final int CONTRACT_CHANGES = 3;

  final World world;
  final Callers callers;
  private final List<Long> applies = new ArrayList<>();
  private boolean evacuated;

  Scenario(long seed) {
    this(seed, ZONES, ENTRIES_PER_ZONE, WORKERS_PER_ZONE);
  }

  /** Creates a scenario in a world of another size. */
  Scenario(long seed, int zones, int entriesPerZone, int workersPerZone) {
    world = new World(seed, zones, entriesPerZone, workersPerZone);
    callers = new Callers(world);
  }

  /** Runs the steps and returns the breaches that the oracle saw. */
  List<String> run(List<Step> steps) {
    startWithContracts();
    callers.sendSteadyLoad(LOAD_INTERVAL_MILLIS);
    for (Step step : steps) {
      execute(step);
      world.time.runFor(step.waitMillis());
      world.oracle.checkOverdue(overdueCheckTime(), ANSWER_GRACE_MILLIS);
    }
    heal();
    world.time.runFor(HEAL_MILLIS);
    return finish();
  }

  /** Starts the world with contracts in force and under a steady load. */
  static Scenario underLoad(long seed) {
    Scenario scenario = new Scenario(seed);
    scenario.startWithContracts();
    scenario.callers.sendSteadyLoad(LOAD_INTERVAL_MILLIS);
    scenario.world.time.runFor(LOAD_START_MILLIS);
    return scenario;
  }

  /** Stops the load, waits for outstanding answers and returns the breaches. */
  List<String> finish() {
    callers.stopLoad();
    world.time.runFor(SETTLE_MILLIS);
    world.oracle.checkOverdue(world.time.millis(), ANSWER_GRACE_MILLIS);
    world.oracle.checkNotRun();
    for (String shard : world.openShards()) {
      world.oracle.breach("shard " + shard + " is not finished");
    }
    return world.oracle.breaches();
  }

  /** Starts the world and puts the contracts into force. */
  void startWithContracts() {
    world.time.runFor(3_000);
    EntryNode first = entry(0);
    applies.add(callers.apply(first, "lanternhall", Contracts.lanternhall(0), 0));
    applies.add(callers.apply(first, "orikiri", Contracts.orikiri(), 0));
    world.time.runFor(SETTLE_MILLIS);
    for (long exchange : applies) {
      if (codeOf(exchange) != 0) {
        world.oracle.breach("a first contract was not accepted: " + codeOf(exchange));
      }
    }
  }

  private long overdueCheckTime() {
    boolean anyPaused = world.entries.values().stream().anyMatch(node -> node.paused);
    return anyPaused ? 0 : world.time.millis();
  }

  /** Returns the result code of an operator's or job's exchange, or -1 while unanswered. */
  int codeOf(long exchange) {
    return world.otherAnswers().stream()
        .filter(answer -> answer.getExchange() == exchange)
        .mapToInt(CallerAnswer::getCode)
        .findFirst()
        .orElse(-1);
  }

  /** Returns the newest revision of a customer's contract in the table service. */
  long revisionOf(String customer) {
    return world.revisionOf(customer);
  }

  private EntryNode entry(int index) {
    List<EntryNode> nodes = List.copyOf(world.entries.values());
    return nodes.get(Math.floorMod(index, nodes.size()));
  }

  private WorkerNode worker(int index) {
    List<WorkerNode> nodes = List.copyOf(world.workers.values());
    return nodes.get(Math.floorMod(index, nodes.size()));
  }

  private void execute(Step step) {
    Conditions conditions = world.conditions;
    EntryNode entry = entry(step.index());
    WorkerNode worker = worker(step.index());
    switch (step.kind()) {
      case KILL_ENTRY -> entry.kill();
      case RESTART_ENTRY -> entry.restart();
      case PAUSE_ENTRY -> entry.paused = true;
      case RESUME_ENTRY -> entry.paused = false;
      case STOP_ENTRY -> entry.stop();
      case KILL_WORKER -> worker.kill();
      case RESTART_WORKER -> worker.restart();
      case REPLACE_WORKER -> replace(worker);
      case WORKER_LEAVES -> leave(worker);
      case SILENCE_CONNECTIONS -> worker.silentFor.addAll(world.entries.keySet());
      case WORKER_FAILS -> worker.failsEverything = true;
      case WORKER_RECOVERS -> worker.failsEverything = false;
      case STORE_DOWN -> conditions.storeDown = true;
      case STORE_SLOW -> conditions.storeSlow = true;
      case STORE_LOSES_ANSWERS -> conditions.storeLosesAnswers = true;
      case STORE_RECOVERS -> restoreStore();
      case CUT_ZONE -> conditions.cutZones.add("zone" + step.index() % ZONES);
      case CUT_FROM_PLATFORM -> conditions.cutFromPlatform.add("zone" + step.index() % ZONES);
      case RECONNECT_ZONES -> reconnectZones();
      case LOSE_PEER_MESSAGES -> conditions.lossyPeers = true;
      case LOSE_WORKER_MESSAGES -> conditions.lossyWorkers = true;
      case NETWORK_RECOVERS -> restoreNetwork();
      case BURST -> callers.sendBurst(BURST_REQUESTS);
      case SUBMIT_JOB -> callers.submit(entry, 3 + step.index() % 40);
      case CANCEL_JOBS -> callers.jobs().forEach(job -> callers.cancel(entry, job));
      case OPERATORS_RACE -> raceOperators(step.index());
      case EVACUATE_ZONE -> evacuate(entry, step.index());
      case END_EVACUATION -> callers.evacuate(entry, "zone" + step.index() % ZONES, true);
      case WAIT -> {
        // Only virtual time passes.
      }
    }
  }

  private void evacuate(EntryNode entry, int index) {
    evacuated = true;
    callers.evacuate(entry, "zone" + index % ZONES, false);
  }

  private void replace(WorkerNode worker) {
    worker.kill();
    worker.listed = false;
  }

  private void leave(WorkerNode worker) {
    if (worker.leavingSince < 0) {
      worker.leavingSince = world.time.millis();
    }
  }

  private void restoreStore() {
    world.conditions.storeDown = false;
    world.conditions.storeSlow = false;
    world.conditions.storeLosesAnswers = false;
  }

  private void reconnectZones() {
    world.conditions.cutZones.clear();
    world.conditions.cutFromPlatform.clear();
  }

  private void restoreNetwork() {
    world.conditions.lossyPeers = false;
    world.conditions.lossyWorkers = false;
  }

  private void raceOperators(int index) {
    for (int i = 0; i < CONTRACT_CHANGES; i++) {
      EntryNode node = entry(index + i);
      long revision = node.configVersion();
      callers.apply(node, "lanternhall", Contracts.lanternhall(index + i), revision);
    }
  }

  private void heal() {
    world.conditions.heal();
    for (EntryNode node : world.entries.values()) {
      node.paused = false;
      if (node.dead || node.stopping) {
        node.restart();
      }
    }
    for (WorkerNode node : world.workers.values()) {
      node.silentFor.clear();
      node.failsEverything = false;
      if (node.dead) {
        node.restart();
      }
      node.listed = true;
      node.leavingSince = -1;
      node.shownLeavingAt.clear();
    }
    if (evacuated) {
      world.time.after(PENDING_EVACUATION_MILLIS, this::endEvacuations);
    }
  }

  private void endEvacuations() {
    for (int zone = 0; zone < ZONES; zone++) {
      callers.evacuate(entry(0), "zone" + zone, true);
    }
  }
}
