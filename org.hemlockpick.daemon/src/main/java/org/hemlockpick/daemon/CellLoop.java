package org.hemlockpick.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Runs actions and ticks on one thread. Actions run at once. A tick follows them within {@value
 * #MIN_TICK_INTERVAL_MILLIS} ms, and runs at least every {@value #MAX_TICK_INTERVAL_MILLIS} ms.
 */
public final class CellLoop implements Executor, AutoCloseable {
  static final long MAX_TICK_INTERVAL_MILLIS = 20;

  /**
   * Minimum time between ticks: at thousands of actions a second, a tick after each would take most
   * of the processor's time.
   */
  static final long MIN_TICK_INTERVAL_MILLIS = 5;

  private static final Logger log = Logger.getLogger(CellLoop.class);
  private static final int MAX_ACTIONS_PER_BATCH = 256;
  private static final long MAX_TICK_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final BlockingQueue<Runnable> actions = new LinkedBlockingQueue<>();
  private final Runnable tick;
  private final Consumer<Error> onFatal;
  private final Thread thread;
  private volatile boolean closed;
  private volatile long lastTickNanos = System.nanoTime();

  /**
   * Creates a loop that is not started.
   *
   * @param name name of the thread
   * @param tick runs after each batch of actions
   * @param onFatal receives the error that ended the loop: nothing is answered any more, so the
   *     process should end
   */
  public CellLoop(String name, Runnable tick, Consumer<Error> onFatal) {
    this.tick = tick;
    this.onFatal = onFatal;
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

  /** Returns the number of actions that wait. */
  public int queueLength() {
    return actions.size();
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
    try {
      runUntilClosed();
    } catch (Error e) {
      log.error(Messages.LOOP_FAILED, e);
      onFatal.accept(e);
    }
  }

  private void runUntilClosed() {
    boolean hasActed = false;
    while (!closed) {
      hasActed |= runActions(nanosUntilTick(hasActed));
      if (nanosUntilTick(hasActed) <= 0) {
        runSafely(tick);
        lastTickNanos = System.nanoTime();
        hasActed = false;
      }
    }
  }

  /** Returns the time until the next tick, which is sooner once an action has run. */
  private long nanosUntilTick(boolean hasActed) {
    long interval = hasActed ? MIN_TICK_INTERVAL_MILLIS : MAX_TICK_INTERVAL_MILLIS;
    return TimeUnit.MILLISECONDS.toNanos(interval) - (System.nanoTime() - lastTickNanos);
  }

  /** Runs a batch of actions; returns whether there was one within a time. */
  private boolean runActions(long waitNanos) {
    Runnable first = poll(waitNanos);
    if (first == null) {
      return false;
    }
    List<Runnable> batch = new ArrayList<>();
    batch.add(first);
    actions.drainTo(batch, MAX_ACTIONS_PER_BATCH - 1);
    batch.forEach(CellLoop::runSafely);
    return true;
  }

  /**
   * Logs the failure of an action, which must not stop the scheduling of all others. A message that
   * is nested too deeply may overflow the stack.
   */
  private static void runSafely(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException | StackOverflowError e) {
      log.error(Messages.ACTION_FAILED, e);
    }
  }

  private @Nullable Runnable poll(long waitNanos) {
    try {
      return actions.poll(Math.max(0, waitNanos), TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      return null;
    }
  }
}
