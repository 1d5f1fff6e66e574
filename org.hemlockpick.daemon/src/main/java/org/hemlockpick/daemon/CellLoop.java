package org.hemlockpick.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Runs actions and ticks on one thread: a tick follows each batch of actions and runs at least
 * every {@value #MAX_TICK_INTERVAL_MILLIS} ms.
 */
public final class CellLoop implements Executor, AutoCloseable {
  static final long MAX_TICK_INTERVAL_MILLIS = 20;

  private static final Logger log = Logger.getLogger(CellLoop.class);
  private static final int MAX_ACTIONS_PER_TICK = 256;
  private static final long MAX_TICK_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final BlockingQueue<Runnable> actions = new LinkedBlockingQueue<>();
  private final Runnable tick;
  private final Thread thread;
  private volatile boolean closed;
  private volatile long lastTickNanos = System.nanoTime();

  /**
   * Creates a loop that is not started.
   *
   * @param name name of the thread
   * @param tick runs after each batch of actions
   */
  public CellLoop(String name, Runnable tick) {
    this.tick = tick;
    this.thread = new Thread(this::run, "loop-" + name);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Returns whether the thread is alive and ticked within the last second. */
  public boolean isResponsive() {
    return thread.isAlive() && System.nanoTime() - lastTickNanos < MAX_TICK_AGE_NANOS;
  }

  /** Queues an action; may be called on any thread. */
  @Override
  public void execute(Runnable action) {
    actions.add(action);
  }

  /** Stops the thread after its current tick. */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }

  private void run() {
    List<Runnable> batch = new ArrayList<>();
    while (!closed) {
      batch.clear();
      Runnable first = poll();
      if (first != null) {
        batch.add(first);
        actions.drainTo(batch, MAX_ACTIONS_PER_TICK - 1);
      }
      batch.forEach(CellLoop::runSafely);
      runSafely(tick);
      lastTickNanos = System.nanoTime();
    }
  }

  /** Logs the failure of an action, which must not stop the scheduling of all others. */
  private static void runSafely(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      log.error(Messages.ACTION_FAILED, e);
    }
  }

  private @Nullable Runnable poll() {
    try {
      return actions.poll(MAX_TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      return null;
    }
  }
}
