package org.hemlockpick.daemon;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;
import org.jboss.logging.Logger;

/**
 * Runs a loop on one thread: ticks as soon as inputs arrive and at least every {@value
 * #MAX_TICK_INTERVAL_MILLIS} ms, and passes the outputs on.
 *
 * <p>A tick that throws stops the thread, as the loop's state may be inconsistent.
 */
final class LoopThread {
  static final long MAX_TICK_INTERVAL_MILLIS = 20;

  private static final Logger log = Logger.getLogger(LoopThread.class);
  private static final long MAX_TICK_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Maximum number of ticks after the close; inputs of the platform may keep arriving. */
  private static final int MAX_FINAL_TICKS = 16;

  private static final long JOIN_TIMEOUT_MILLIS = 2_000;

  private final InputQueue queue;
  private final Loop loop;
  private final TickClock tickClock;
  private final InstantSource time;
  private final Consumer<Output> handler;
  private final TickListener listener;
  private final Consumer<Throwable> onFailure;
  private final Thread thread;
  private volatile boolean closed;
  private volatile boolean ready;
  private volatile long lastTickNanos = System.nanoTime();

  LoopThread(
      String name,
      InputQueue queue,
      Loop loop,
      TickClock tickClock,
      InstantSource time,
      Consumer<Output> handler,
      TickListener listener,
      Consumer<Throwable> onFailure) {
    this.queue = queue;
    this.loop = loop;
    this.tickClock = tickClock;
    this.time = time;
    this.handler = handler;
    this.listener = listener;
    this.onFailure = onFailure;
    this.thread = new Thread(this::run, "loop-" + name);
  }

  void start() {
    thread.start();
  }

  /** Returns whether the loop serves callers, as of its last tick. */
  boolean isReady() {
    return ready && isResponsive();
  }

  /** Returns whether the thread is alive and ticked within the last two seconds. */
  boolean isResponsive() {
    return thread.isAlive() && System.nanoTime() - lastTickNanos < MAX_TICK_AGE_NANOS;
  }

  /** Stops the thread after final ticks for the queued inputs. */
  void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(JOIN_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    boolean running = true;
    while (running && !closed) {
      running = tick(queue.take(MAX_TICK_INTERVAL_MILLIS));
    }
    if (running) {
      drainQueue();
    }
  }

  /** Runs ticks for the queued inputs, so that their callers still get the loop's answer. */
  private void drainQueue() {
    Thread.interrupted();
    List<Input> remaining = queue.take(0);
    for (int i = 0; i < MAX_FINAL_TICKS && !remaining.isEmpty(); i++) {
      if (!tick(remaining)) {
        return;
      }
      remaining = queue.take(0);
    }
  }

  private boolean tick(List<Input> inputs) {
    long now = time.millis();
    long startNanos = System.nanoTime();
    tickClock.set(now);
    try {
      List<Output> outputs = loop.tick(inputs);
      ready = loop.isReady();
      listener.onTick(now, System.nanoTime() - startNanos, inputs, outputs);
      outputs.forEach(this::handleOutput);
      lastTickNanos = System.nanoTime();
      return true;
    } catch (RuntimeException | Error e) {
      ready = false;
      log.errorv(e, Messages.TICK_FAILED, inputs.stream().map(Input::getBodyCase).toList());
      onFailure.accept(e);
      return false;
    }
  }

  private void handleOutput(Output output) {
    try {
      handler.accept(output);
    } catch (RuntimeException e) {
      log.errorv(e, Messages.OUTPUT_FAILED, output.getBodyCase());
    }
  }
}
