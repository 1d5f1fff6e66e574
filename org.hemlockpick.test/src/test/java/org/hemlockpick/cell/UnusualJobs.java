package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import org.hemlockpick.errors.ResultCode;

/**
 * Submits jobs that strain the scheduler to a world of entry instances: large ones, ones that can
 * never run, stragglers, and many that are canceled. Checks that what was canceled ends.
 */
final class UnusualJobs {
  private static final int LARGE_COUNT = 24;

  /** Number of tasks of a gang that all workers together have no room for. */
  private static final int HOPELESS_COUNT = 200;

  private static final int CANCELED_JOBS = 12;
  private static final long STRAGGLER_MILLIS = 12_000;
  private static final long LONG_MILLIS = 900_000;
  private static final long CANCEL_TIMEOUT_MILLIS = 2_000;
  private static final long RETRY_MILLIS = 200;
  private static final long STATE_TIMEOUT_MILLIS = 1_000;

  private final CellWorld world;
  private final SplittableRandom random;

  /** Times from the acceptance of jobs to their cancellation, in milliseconds. */
  private final Map<String, Long> cancelAfterMillis = new HashMap<>();

  /** Canceled jobs, and whether the cancellation was acknowledged. */
  private final Map<String, Boolean> canceled = new LinkedHashMap<>();

  /** Jobs that do not end by themselves. */
  private final List<String> endless = new ArrayList<>();

  private int jobs;

  UnusualJobs(CellWorld world, SplittableRandom random) {
    this.world = world;
    this.random = random;
    world.onAcknowledged.add((id, node) -> onAcknowledged(id));
  }

  /** Kinds of jobs. */
  enum Kind {
    LARGE,
    HOPELESS,
    STRAGGLING,
    /** Many that are canceled, some right after they were accepted. */
    CANCELED
  }

  private void onAcknowledged(String id) {
    Long millis = cancelAfterMillis.get(id);
    if (millis != null) {
      world.time.after(millis, () -> cancel(id));
    }
  }

  /** Submits jobs of a kind at a node. */
  void submit(Kind kind, int node) {
    switch (kind) {
      case LARGE -> world.submit(node, nextId(), CellWorld.step(LARGE_COUNT));
      case HOPELESS -> submitHopeless(node);
      case STRAGGLING -> submitStraggling(node);
      case CANCELED -> submitCanceled(node);
    }
  }

  /** Submits a job of tasks that last. */
  void submitLasting(int node, int count) {
    String id = nextId();
    world.workers.runMillisByJob.put(id, LONG_MILLIS);
    endless.add(id);
    world.submit(node, id, CellWorld.step(count, false, null, 0, true, List.of()));
  }

  private void submitHopeless(int node) {
    String id = nextId();
    endless.add(id);
    world.submit(node, id, CellWorld.constrainedStep(HOPELESS_COUNT, true, 0));
  }

  private void submitStraggling(int node) {
    String id = nextId();
    world.workers.runMillisByJob.put(id, STRAGGLER_MILLIS);
    world.submit(node, id, CellWorld.step(1 + random.nextInt(4)));
  }

  private void submitCanceled(int node) {
    for (int i = 0; i < CANCELED_JOBS; i++) {
      String id = nextId();
      cancelAfterMillis.put(id, random.nextBoolean() ? random.nextLong(20) : random.nextLong(800));
      world.submit(node + i, id, CellWorld.step(1 + random.nextInt(3)), CellWorld.step(1, 0));
    }
  }

  private String nextId() {
    return "u" + ++jobs;
  }

  /** Cancels the jobs that do not end by themselves. */
  void cancelEndless() {
    endless.forEach(this::cancel);
    endless.clear();
  }

  private void cancel(String id) {
    world.disregard(id);
    canceled.putIfAbsent(id, false);
    tryCancel(id, random.nextInt(world.nodes.size()));
  }

  private void tryCancel(String id, int index) {
    if (canceled.getOrDefault(id, false)) {
      return;
    }
    CellWorld.Node node = world.nodes.get(index % world.nodes.size());
    CellMember process = node.process;
    if (process != null && !node.isPaused()) {
      process.cancel(
          CellWorld.address(id), "caller", CANCEL_TIMEOUT_MILLIS, reply -> onCanceled(id, reply));
    }
    world.time.after(CANCEL_TIMEOUT_MILLIS + RETRY_MILLIS, () -> tryCancel(id, index + 1));
  }

  private void onCanceled(String id, CallerReply reply) {
    if (reply.code() == ResultCode.DONE) {
      canceled.put(id, true);
    }
  }

  /** Returns the canceled jobs that have not ended, or of which a task runs. */
  List<String> notEnded() {
    CellMember process =
        world.nodes.stream()
            .filter(node -> !node.isPaused())
            .map(node -> node.process)
            .filter(Objects::nonNull)
            .findFirst()
            .orElseThrow();
    Map<String, JobState> states = new HashMap<>();
    for (String id : canceled.keySet()) {
      process.state(
          CellWorld.address(id),
          STATE_TIMEOUT_MILLIS,
          reply -> {
            if (reply.state() != null) {
              states.put(id, reply.state());
            }
          });
    }
    world.time.runFor(2 * STATE_TIMEOUT_MILLIS);
    List<String> found = new ArrayList<>();
    canceled.forEach(
        (id, isAcknowledged) -> {
          JobState state = states.get(id);
          boolean hasEnded = state != null && state.isFinal();
          if (!isAcknowledged || !hasEnded || world.workers.isAnyRunning(id)) {
            found.add(id + " " + state + ", acknowledged " + isAcknowledged);
          }
        });
    return found;
  }
}
