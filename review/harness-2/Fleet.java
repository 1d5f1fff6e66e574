import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The workers, what callers have handed in, and what was started of it. */
final class Fleet {
  static final String SERVICE = "litepay";

  private final World world;
  private final Store store;
  private final Map<String, List<Phase>> jobs = new HashMap<>();
  private final List<Worker> workers = new ArrayList<>();
  private final Map<String, List<Event>> events = new HashMap<>();

  /** A step: what one of its tasks takes, and how long it works; 0 if it lasts. */
  record Phase(long cpu, long workMillis) {}

  /** A start or an end of a run. */
  record Event(long at, String worker, String task, int attempt, String what) {}

  Fleet(World world, Store store) {
    this.world = world;
    this.store = store;
    world.threads().execute(this::advance);
  }

  Worker add(String id, String label, long cpu) throws IOException {
    Worker worker = new Worker(world, store, this, id, label, cpu);
    synchronized (workers) {
      workers.add(worker);
    }
    return worker;
  }

  List<Worker> workers() {
    synchronized (workers) {
      return List.copyOf(workers);
    }
  }

  private void advance() {
    while (!Thread.currentThread().isInterrupted()) {
      workers().forEach(Worker::advance);
      World.sleep(5);
    }
  }

  /** Notes what a caller hands in; the work of each task is told by the estimate. */
  synchronized void submit(String job, JsonNode body) {
    List<Phase> phases = new ArrayList<>();
    for (JsonNode phase : body.path("phases")) {
      boolean lasts = phase.path("long_running").asBoolean();
      long work = lasts ? 0 : Math.max(1, phase.path("estimate_ms").asLong(100));
      phases.add(new Phase(phase.path("cpu").asLong(), work));
    }
    jobs.put(job, phases);
  }

  /** Returns the step of a task; null if nobody has handed it in. */
  synchronized Phase phase(String task) {
    String[] parts = task.split("\\.");
    List<Phase> phases = jobs.get(parts[0]);
    int step = Integer.parseInt(parts[2]);
    return phases == null || step >= phases.size() ? null : phases.get(step);
  }

  synchronized void onStart(String worker, String task, int attempt) {
    add(new Event(world.now(), worker, task, attempt, "start"));
    world.log("start " + task + " attempt " + attempt + " at " + worker);
    notifyAll();
  }

  synchronized void onEnd(String worker, String task, int attempt, String how) {
    add(new Event(world.now(), worker, task, attempt, how));
    world.log("end " + task + " attempt " + attempt + " at " + worker + ": " + how);
    notifyAll();
  }

  synchronized void onUnasked(String worker, String task) {
    add(new Event(world.now(), worker, task, 0, "unasked"));
    world.log("UNASKED start of " + task + " at " + worker);
  }

  /** Returns the events of a job. */
  synchronized List<Event> of(String job) {
    return List.copyOf(events.getOrDefault(job, List.of()));
  }

  private void add(Event event) {
    String job = event.task().substring(0, event.task().indexOf('.'));
    events.computeIfAbsent(job, key -> new ArrayList<>()).add(event);
  }

  /** Waits until a job has a start after a time; returns it, or null if there is none in time. */
  synchronized Event awaitStart(String job, long after, long untilMillis)
      throws InterruptedException {
    while (true) {
      for (Event event : of(job)) {
        if (event.what().equals("start") && event.at() >= after) {
          return event;
        }
      }
      long left = untilMillis - world.now();
      if (left <= 0) {
        return null;
      }
      wait(left);
    }
  }
}
