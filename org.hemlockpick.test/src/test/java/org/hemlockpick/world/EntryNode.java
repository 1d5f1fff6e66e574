package org.hemlockpick.world;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.hemlockpick.fakes.DriftingClock;
import org.hemlockpick.fakes.VirtualTime;
import org.hemlockpick.lib.EntryInstance;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.StatusView;
import org.hemlockpick.proto.StopOrder;
import org.jspecify.annotations.Nullable;

/** Runs one entry instance of the world, which can be killed, paused, restarted and stopped. */
final class EntryNode {
  private static final int TICK_MILLIS = 20;

  final String name;
  final String zone;
  boolean dead;
  boolean paused;
  boolean stopping;

  private final InstanceSettings settings;
  private final VirtualTime time;
  private final Conditions conditions;
  private final Oracle oracle;
  private final BiConsumer<EntryNode, Output> outputs;
  private List<Input> inbox = new ArrayList<>();
  private DriftingClock clock;
  private EntryInstance instance;
  private int starts;
  private long version;
  private @Nullable Recording recording;

  EntryNode(
      InstanceSettings settings,
      VirtualTime time,
      Conditions conditions,
      Oracle oracle,
      BiConsumer<EntryNode, Output> outputs) {
    this.settings = settings;
    this.name = settings.name();
    this.zone = settings.zone();
    this.time = time;
    this.conditions = conditions;
    this.oracle = oracle;
    this.outputs = outputs;
    this.clock = new DriftingClock(time, 0, 1.0);
    this.instance = start();
    scheduleTick();
  }

  int starts() {
    return starts;
  }

  boolean isReady() {
    return !dead && !paused && instance.isReady();
  }

  boolean isStopped() {
    return instance.isStopped();
  }

  boolean holds(String worker) {
    return instance.status().getWorkersList().stream()
        .anyMatch(view -> view.getWorker().equals(worker) && view.getEpoch() != 0);
  }

  StatusView status() {
    return instance.status();
  }

  long configVersion() {
    return instance.status().getConfigVersion();
  }

  void receive(Input input, int sentToStart) {
    if (!dead && sentToStart == starts) {
      inbox.add(input);
    }
  }

  void kill() {
    dead = true;
    inbox.clear();
    oracle.nodeDied(name);
  }

  void restart() {
    oracle.nodeDied(name);
    inbox.clear();
    instance = start();
    dead = false;
    paused = false;
    stopping = false;
    version = 0;
  }

  void stop() {
    stopping = true;
    receive(Input.newBuilder().setStopOrder(StopOrder.getDefaultInstance()).build(), starts);
  }

  /** Restarts the node and records all inputs and outputs of its loop from then on. */
  Recording restartRecorded() {
    restart();
    long seed = conditions.random.nextLong();
    Recording begun = new Recording(settings, time.millis() + 1, time.millis(), seed);
    clock = new DriftingClock(time, 0, 1.0);
    instance = new EntryInstance(settings, begun.incarnation(), clock, Recording.random(seed));
    recording = begun;
    return begun;
  }

  private EntryInstance start() {
    starts++;
    recording = null;
    long offset = conditions.random.nextInt(100_000);
    double rate = 0.99 + conditions.random.nextInt(21) / 1_000.0;
    clock = new DriftingClock(time, offset, rate);
    return new EntryInstance(
        settings, time.millis() + 1, clock, Recording.random(conditions.random.nextLong()));
  }

  private void scheduleTick() {
    time.after(TICK_MILLIS, this::tick);
  }

  private void tick() {
    if (!dead && !paused) {
      List<Input> inputs = inbox;
      inbox = new ArrayList<>();
      List<Output> results = instance.tick(inputs);
      if (recording != null) {
        recording.add(clock.millis(), inputs, results);
      }
      results.forEach(output -> outputs.accept(this, output));
      checkVersion();
    }
    scheduleTick();
  }

  private void checkVersion() {
    long present = configVersion();
    if (present < version) {
      oracle.versionWentBack(name, version, present);
    }
    version = present;
  }
}
