package org.hemlockpick.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.hemlockpick.errors.ResultCode;

/**
 * Sends requests from several concurrent callers, every second one non-idempotent, until it is
 * stopped. A caller may retry a request that was not answered or not run, at the next entry
 * instance.
 */
final class Load {
  private static final int CALLERS = 6;
  private static final int MAX_ATTEMPTS = 60;
  private static final int SLEEP_MILLIS = 20;
  private static final long PAUSE_MILLIS = 100;

  private final ZoneClient client;
  private final List<Integer> ports;
  private final String name;
  private final int maxAttempts;
  private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
  private final List<Thread> callers = new ArrayList<>();
  private volatile boolean stopping;

  private Load(ZoneClient client, List<Integer> ports, String name, int maxAttempts) {
    this.client = client;
    this.ports = ports;
    this.name = name;
    this.maxAttempts = maxAttempts;
  }

  /** Starts callers that retry their requests; the labels begin with the name. */
  static Load start(ZoneClient client, List<Integer> ports, String name) {
    return start(new Load(client, ports, name, MAX_ATTEMPTS));
  }

  /** Starts callers that send each request once; the labels begin with the name. */
  static Load startWithoutRetries(ZoneClient client, List<Integer> ports, String name) {
    return start(new Load(client, ports, name, 1));
  }

  private static Load start(Load load) {
    for (int i = 0; i < CALLERS; i++) {
      int caller = i;
      load.callers.add(new Thread(() -> load.run(caller), load.name + "-" + caller));
    }
    load.callers.forEach(Thread::start);
    return load;
  }

  /** Returns the number of completed requests. */
  int completed() {
    return calls.size();
  }

  /** Stops the callers and returns all calls. */
  List<Call> stop() throws InterruptedException {
    stopping = true;
    for (Thread caller : callers) {
      caller.join();
    }
    return List.copyOf(calls);
  }

  private void run(int caller) {
    try {
      for (int i = 0; !stopping; i++) {
        calls.add(call(name + "-" + caller + "-" + i, i % 2 == 0, caller + i));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Call call(String label, boolean idempotent, int first) throws InterruptedException {
    List<Attempt> attempts = new ArrayList<>();
    for (int i = 0; i < maxAttempts; i++) {
      Attempt attempt = attempt(ports.get((first + i) % ports.size()), label, idempotent);
      attempts.add(attempt);
      if (attempt.isFinal(idempotent)) {
        break;
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    return new Call(label, idempotent, List.copyOf(attempts));
  }

  private Attempt attempt(int port, String label, boolean idempotent) throws InterruptedException {
    long startNanos = System.nanoTime();
    try {
      Answer answer = client.request(port, label, idempotent, SLEEP_MILLIS);
      return new Attempt(port, startNanos, answer.code(), answer.json().toString());
    } catch (IOException e) {
      return new Attempt(port, startNanos, null, e.toString());
    }
  }

  /**
   * One request.
   *
   * @param label label in the body, and the idempotency key of a non-idempotent request
   * @param idempotent whether it may run more than once
   * @param attempts attempts of the caller, in order
   */
  record Call(String label, boolean idempotent, List<Attempt> attempts) {
    Attempt last() {
      return attempts.get(attempts.size() - 1);
    }

    boolean isDone() {
      return last().code() == ResultCode.DONE;
    }

    /** Returns whether every attempt was refused as not run. */
    boolean isNotRun() {
      return attempts.stream().allMatch(Attempt::isNotRun);
    }
  }
}
