package org.hemlockpick.platform.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Submits jobs, polls their states and cancels a few; retries at other instances. */
final class Callers {
  private static final int SUBMITTERS = 8;
  private static final int POLLERS = 3;
  private static final Duration TIMEOUT = Duration.ofMillis(2_500);
  private static final String DEADLINE = "2000";
  private static final int MAX_TRIES = 6;
  private static final int RETRY_PAUSE_MILLIS = 250;
  private static final double CANCEL_PROBABILITY = 0.05;
  private static final double RESUBMIT_PROBABILITY = 0.05;
  private static final double FAILS_OFTEN_PROBABILITY = 0.2;

  /** Probability that a caller cancels a job whose submission has no conclusive answer. */
  private static final double GIVE_UP_PROBABILITY = 0.4;

  private static final int GONE = 410;

  private final World world;
  private final Fleet fleet;
  private final Oracle oracle;
  private final double deadlyProbability;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final List<JobPlan> plans = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean submitting = true;
  private volatile boolean running = true;
  private volatile boolean failed;

  Callers(World world, Fleet fleet, Oracle oracle, Day day) {
    this.world = world;
    this.fleet = fleet;
    this.oracle = oracle;
    this.deadlyProbability = day.deadlyProbability();
    for (int i = 0; i < SUBMITTERS; i++) {
      run(this::submitAll);
    }
    for (int i = 0; i < POLLERS; i++) {
      run(this::pollAll);
    }
  }

  private record Answer(int status, String state) {}

  /** Stops submitting jobs, and continues to poll their states. */
  void stopSubmitting() {
    submitting = false;
  }

  /** Returns whether all accepted jobs have finished. */
  boolean isDone() {
    synchronized (world) {
      return plans.stream().noneMatch(plan -> oracle.isOpen(plan.id()));
    }
  }

  /** Returns whether a caller thread failed, which makes the result of the run meaningless. */
  boolean hasFailed() {
    return failed;
  }

  /** Stops all threads. */
  void stop() throws InterruptedException {
    running = false;
    submitting = false;
    for (Thread thread : threads) {
      thread.interrupt();
      thread.join(TIMEOUT.toMillis());
    }
  }

  private void run(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              } catch (RuntimeException e) {
                failed = true;
                throw e;
              }
            },
            "soak-caller");
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  private void submitAll() throws InterruptedException {
    while (submitting) {
      JobPlan plan = plan();
      synchronized (world) {
        oracle.onSubmit(plan);
      }
      if (submit(plan)) {
        plans.add(plan);
        if (world.roll(CANCEL_PROBABILITY)) {
          Thread.sleep(world.between(300, 3_000));
          cancel(plan);
        } else if (world.roll(RESUBMIT_PROBABILITY)) {
          Thread.sleep(world.between(500, 3_000));
          boolean unused = submit(plan);
        }
      }
      Thread.sleep(world.between(400, 1_400));
    }
  }

  private JobPlan plan() {
    List<Integer> counts = new ArrayList<>();
    boolean failsOften = world.roll(FAILS_OFTEN_PROBABILITY);
    for (int i = failsOften ? 1 : world.between(1, 2); i > 0; i--) {
      counts.add(world.between(2, 6));
    }
    String id = "%08x%08x".formatted(world.between(0, 1 << 30), world.between(0, 1 << 30));
    // Draws nothing where no job is deadly, so that the jobs of a seed do not change.
    boolean deadly = deadlyProbability > 0 && world.roll(deadlyProbability);
    return new JobPlan(id, counts, 250 * world.between(2, 6), failsOften, deadly);
  }

  /** Submits a job, with retries without a conclusive reply; returns whether it is accepted. */
  private boolean submit(JobPlan plan) throws InterruptedException {
    for (int i = 0; i < MAX_TRIES; i++) {
      Instance instance = fleet.any();
      Answer answer = send(instance, "POST", plan.id(), plan.body().toString());
      synchronized (world) {
        oracle.onSubmitted(plan.id(), answer.status(), instance.label());
      }
      if (answer.status() == 200) {
        return true;
      }
      if (answer.status() == 429 || answer.status() == 503) {
        return false;
      }
      if (world.roll(GIVE_UP_PROBABILITY)) {
        giveUp(plan);
        return false;
      }
      Thread.sleep(RETRY_PAUSE_MILLIS);
    }
    return false;
  }

  /** Cancels a job that may not be stored yet, until an instance acknowledges it. */
  private void giveUp(JobPlan plan) throws InterruptedException {
    synchronized (world) {
      oracle.onCancel(plan.id());
    }
    for (int i = 0; i < MAX_TRIES; i++) {
      Answer answer = send(fleet.any(), "DELETE", plan.id(), "");
      if (answer.status() == GONE) {
        synchronized (world) {
          oracle.onCancelledBefore(plan.id());
        }
      }
      if (answer.status() == 200 || answer.status() == GONE) {
        return;
      }
      Thread.sleep(RETRY_PAUSE_MILLIS);
    }
  }

  private void cancel(JobPlan plan) throws InterruptedException {
    synchronized (world) {
      oracle.onCancel(plan.id());
    }
    Answer unused = send(fleet.any(), "DELETE", plan.id(), "");
  }

  private void pollAll() throws InterruptedException {
    while (running) {
      for (JobPlan plan : plans) {
        boolean asked;
        synchronized (world) {
          asked = oracle.isOpen(plan.id()) || world.roll(0.05);
        }
        if (asked && running) {
          poll(plan);
          Thread.sleep(20);
        }
      }
      Thread.sleep(100);
    }
  }

  private void poll(JobPlan plan) throws InterruptedException {
    Instance instance = fleet.any();
    boolean ended;
    synchronized (world) {
      ended = oracle.isFinished(plan.id());
    }
    Answer answer = send(instance, "GET", plan.id(), "");
    synchronized (world) {
      oracle.onState(plan.id(), ended, answer.status(), answer.state(), instance.label());
    }
  }

  private Answer send(Instance instance, String method, String id, String body)
      throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(instance.address().resolve(Platform.PREFIX + id))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Content-Type", "application/json")
            .header("Deadline-Ms", DEADLINE)
            .timeout(TIMEOUT)
            .build();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      JsonNode json = StubHttpServer.MAPPER.readTree(response.body());
      return new Answer(response.statusCode(), json.path("state").asText());
    } catch (IOException e) {
      return new Answer(0, "");
    }
  }

  /** The work of a caller thread. */
  @FunctionalInterface
  private interface Work {
    void run() throws InterruptedException;
  }
}
