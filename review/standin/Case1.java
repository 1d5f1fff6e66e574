import java.io.IOException;

/** A submission whose task lasts; the worker that runs it crashes three times. */
final class Case1 {
  private static final int WORKERS = 8;
  private static final int CRASHES = 3;
  private static final long RUN_MILLIS = 5_000;
  private static final long DOWN_MILLIS = 4_500;
  private static final long RESTART_MILLIS = 15_000;
  private static final long CALM_MILLIS = 20_000;
  private static final String ID = "00000000c0ffee01";

  private Case1() {}

  static void run(World world, boolean isTroubled) throws IOException {
    Deployment deployment = new Deployment(world, WORKERS, 3, 4);
    Entry entry = deployment.entries.get(0);
    String phase =
        "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":500,\"long_running\":true}";
    String body = "{\"spec\":\"lasts\",\"phases\":[" + phase + "]}";
    if (entry.call("POST", Deployment.PREFIX + ID, body).status() != 200) {
      throw new IOException("the submission was not accepted");
    }
    for (int i = 0; i < CRASHES; i++) {
      if (!deployment.await(RESTART_MILLIS, () -> deployment.workerOf(ID) != null)) {
        break;
      }
      deployment.await(RUN_MILLIS + 1_000, () -> age(deployment) >= RUN_MILLIS);
      if (isTroubled) {
        deployment.workerOf(ID).crash(DOWN_MILLIS);
      }
    }
    // Nothing is disturbed from here on; all workers are up again after the first seconds.
    World.sleep(CALM_MILLIS);
    String state = entry.call("GET", Deployment.PREFIX + ID, "").body();
    boolean runs = deployment.workerOf(ID) != null;
    world.log("the task %s", runs ? "runs" : "does not run");
    if (state.contains("\"failed\"")) {
      world.broken("LOST: shown as failed, no run of it has ended failed, nobody canceled it");
    } else if (!runs) {
      world.broken("LOST: its task that lasts has no run, and all workers are free");
    }
  }

  private static long age(Deployment deployment) {
    Worker worker = deployment.workerOf(ID);
    return worker == null ? -1 : worker.age(ID);
  }
}
