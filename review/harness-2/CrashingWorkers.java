import java.io.IOException;
import java.util.List;

/** Two of twenty workers go down and up by turns; a sound submission that needs one of them waits. */
final class CrashingWorkers extends Case {
  private static final int WORKERS = 20;
  private static final String JOB = "00000000000000c1";

  /** A batch task that takes 2 s, on a worker of a kind of which there are two. */
  private static final String BODY =
      "{\"spec\":\"batch\",\"phases\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":64,\"estimate_ms\":2000,"
          + "\"required_label\":\"b\"}]}";

  private static final long FLAP_MILLIS = 6_500;
  private static final long PERIOD_MILLIS = 1_400;

  public static void main(String[] arguments) throws Exception {
    run(new CrashingWorkers(), arguments);
  }

  @Override
  void addWorkers() throws Exception {
    for (int i = 0; i < WORKERS; i++) {
      fleet.add("w-" + i, i < 2 ? "b" : "a", 32_000);
    }
  }

  @Override
  Verdict play() throws Exception {
    List<Nodes.Node> entries = nodes.all();
    submit(entries.get(0), BATCH, "00000000000000aa", BODY, 3_000);
    World.sleep(4_000);
    if (!get(entries.get(0), BATCH, "00000000000000aa").body().contains("completed")) {
      return Verdict.NOT_RUN;
    }
    if (trouble) {
      for (int i = 0; i < 2; i++) {
        Worker worker = fleet.workers().get(i);
        world.threads().execute(() -> flap(worker));
      }
      World.sleep(300);
    }
    if (submit(entries.get(1), BATCH, JOB, BODY, 3_000).status() != 200) {
      return Verdict.NOT_RUN;
    }
    long until = world.now() + 30_000;
    String state = "";
    while (world.now() < until && !isFinal(state)) {
      World.sleep(500);
      state = get(entries.get(2), BATCH, JOB).body();
    }
    long failed = fleet.of(JOB).stream().filter(event -> event.what().equals("failed")).count();
    world.log("runs that ended `failed`: " + failed + ", the submission is shown as " + state);
    return state.contains("failed") && failed == 0 ? Verdict.BROKEN : Verdict.HELD;
  }

  private static boolean isFinal(String state) {
    return state.contains("completed") || state.contains("failed") || state.contains("cancelled");
  }

  /** Lets a worker go down and up, half of each period. */
  private void flap(Worker worker) {
    long until = world.now() + FLAP_MILLIS;
    while (world.now() < until && !Thread.currentThread().isInterrupted()) {
      worker.crash();
      World.sleep(PERIOD_MILLIS / 2);
      try {
        worker.boot();
      } catch (IOException e) {
        world.log("not started again: " + e);
        return;
      }
      world.log("worker " + worker.id() + " is up again");
      World.sleep(PERIOD_MILLIS / 2);
    }
  }
}
