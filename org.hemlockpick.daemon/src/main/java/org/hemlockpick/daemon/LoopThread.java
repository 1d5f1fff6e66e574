package org.hemlockpick.daemon;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;
import org.jboss.logging.Logger;

/**
 * Runs a loop on one thread: ticks at once when inputs arrive and at least every {@value
 * #MAX_PAUSE_MILLIS} ms, and hands on the outputs.
 *
 * <p>A tick that throws ends the thread, as the loop's state may be broken.
 */
final class LoopThread {
  static final long MAX_PAUSE_MILLIS = 20;

  private static final Logger log = Logger.getLogger(LoopThread.class);
  private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Most ticks after the thread was told to end; inputs of the platform may go on coming. */
  private static final int MAX_LAST_TICKS = 16;

  private static final long JOIN_MILLIS = 2_000;

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

  /** Tells whether the loop serves callers, as of its last tick. */
  boolean isReady() {
    return ready && isTurning();
  }

  /** Tells whether the last tick was a short time ago. */
  boolean isTurning() {
    return thread.isAlive() && System.nanoTime() - lastTickNanos < SILENCE_NANOS;
  }

  /** Ends the thread after a last tick over what waits in the queue. */
  void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(JOIN_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    boolean turning = true;
    while (turning && !closed) {
      turning = tick(queue.take(MAX_PAUSE_MILLIS));
    }
    if (turning) {
      tickRest();
    }
  }

  /** Takes what waits, so that callers whose inputs no tick has seen yet get the loop's answer. */
  private void tickRest() {
    Thread.interrupted();
    List<Input> rest = queue.take(0);
    for (int i = 0; i < MAX_LAST_TICKS && !rest.isEmpty(); i++) {
      if (!tick(rest)) {
        return;
      }
      rest = queue.take(0);
    }
  }

  private boolean tick(List<Input> inputs) {
    long now = time.millis();
    long begun = System.nanoTime();
    tickClock.set(now);
    try {
      List<Output> outputs = loop.tick(inputs);
      ready = loop.isReady();
      listener.onTick(now, System.nanoTime() - begun, inputs, outputs);
      outputs.forEach(this::carryOut);
      lastTickNanos = System.nanoTime();
      return true;
    } catch (RuntimeException | Error e) {
      ready = false;
      log.errorv(e, Messages.TICK_FAILED, inputs.stream().map(Input::getBodyCase).toList());
      onFailure.accept(e);
      return false;
    }
  }

  private void carryOut(Output output) {
    try {
      handler.accept(output);
    } catch (RuntimeException e) {
      log.errorv(e, Messages.OUTPUT_FAILED, output.getBodyCase());
    }
  }
}
