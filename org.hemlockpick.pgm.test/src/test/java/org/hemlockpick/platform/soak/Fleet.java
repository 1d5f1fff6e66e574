package org.hemlockpick.platform.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The processes of all instances; two processes of one instance may run at the same time. */
final class Fleet implements AutoCloseable {
  private final World world;
  private final Platform platform;
  private final Path folder;
  private final List<Instance> processes = new ArrayList<>();
  private int started;
  private int killedAfterGrace;
  private boolean closed;

  Fleet(World world, Platform platform, Path folder, int size) {
    this.world = world;
    this.platform = platform;
    this.folder = folder;
    for (int i = 0; i < size; i++) {
      start("edge-kgn-a-" + (i + 1));
    }
  }

  /** Returns the processes that were not told to stop, paused ones included. */
  synchronized List<Instance> serving() {
    return processes.stream().filter(process -> !process.isEnding()).toList();
  }

  /** Returns the holder if it was not told to stop, else any serving process. */
  Instance holder() {
    String label = platform.holder();
    List<Instance> serving = serving();
    return serving.stream()
        .filter(process -> process.label().equals(label))
        .findFirst()
        .orElseGet(this::any);
  }

  /** Returns a random serving process; the newest one if all were told to stop. */
  Instance any() {
    List<Instance> serving = serving();
    if (serving.isEmpty()) {
      return newest();
    }
    return serving.get(world.between(0, serving.size() - 1));
  }

  private synchronized Instance newest() {
    return processes.get(processes.size() - 1);
  }

  synchronized Instance start(String name) {
    if (closed) {
      return newest();
    }
    started++;
    String label = name + "#" + started;
    try {
      Instance process = new Instance(folder, name, label, platform.openStore(label));
      processes.add(process);
      platform.oracle().onDisturbed(label, world.now());
      world.log("start " + label);
      return process;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void pause(Instance process, long millis) {
    synchronized (this) {
      if (process.isEnding() || process.isPaused()) {
        return;
      }
      process.setPaused(true);
      platform.oracle().onDisturbed(process.label(), world.now() + millis);
    }
    world.log("pause " + process.label() + " for " + millis + " ms");
    schedule(millis, () -> resume(process));
  }

  private synchronized void resume(Instance process) {
    if (process.isPaused()) {
      world.log("resume " + process.label());
      process.setPaused(false);
      platform.oracle().onDisturbed(process.label(), world.now());
    }
  }

  /** Kills a process and starts another of the same name after a delay. */
  void kill(Instance process, long millis) {
    synchronized (this) {
      if (process.isEnding()) {
        return;
      }
      process.kill();
    }
    world.log("killed " + process.label() + ", next in " + millis + " ms");
    schedule(millis, () -> start(process.name()));
  }

  /** Kills the holder, outside the caller's lock, and starts another of the same name. */
  void killHolderSoon(long millis) {
    schedule(0, () -> kill(holder(), millis));
  }

  /** Tells a process to stop, and starts another of the same name alongside it. */
  void replace(Instance process, long millis) {
    if (terminate(process)) {
      schedule(millis, () -> start(process.name()));
    }
  }

  /**
   * Tells a process to stop, and kills it after its grace time. Returns false if it was told
   * before.
   */
  boolean terminate(Instance process) {
    synchronized (this) {
      if (process.isEnding()) {
        return false;
      }
      process.terminate();
    }
    world.log("terminate " + process.label());
    schedule(Instance.GRACE_SECONDS * 1_000L, () -> killAfterGrace(process));
    return true;
  }

  private synchronized void killAfterGrace(Instance process) {
    if (process.isAlive() && !closed) {
      killedAfterGrace++;
      world.log(
          "killed %s at the end of its grace time, paused %b, pid %d"
              .formatted(process.label(), process.isPaused(), process.pid()));
      process.kill();
    }
  }

  /** Restarts the processes that exited without being told to stop. */
  synchronized void replaceEnded() {
    for (Instance process : serving()) {
      if (!process.isAlive()) {
        world.log(process.label() + " exited unexpectedly, status " + process.waitFor());
        process.terminate();
        start(process.name());
      }
    }
  }

  /** Resumes all paused processes. */
  synchronized void resumeAll() {
    processes.forEach(this::resume);
  }

  /** Returns how many processes did not exit within their grace time. */
  synchronized int killedAfterGrace() {
    return killedAfterGrace;
  }

  @Override
  public synchronized void close() {
    closed = true;
    processes.stream().filter(Instance::isAlive).forEach(Instance::kill);
  }

  /** Runs work after a delay, outside the world's lock, as signals and starts take time. */
  private static void schedule(long millis, Runnable work) {
    CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(work);
  }
}
