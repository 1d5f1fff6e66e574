import java.io.IOException;

/** A submission of two steps; its route is removed from the manifest while the first one runs. */
final class RemovedRouteCase {
  private static final int WORKERS = 4;
  private static final int STEP_MILLIS = 4_000;
  private static final long CHANGE_AFTER_MILLIS = 2_000;

  /** The finish_s of the pages, and the 3 s for which a task whose turn has come may not wait. */
  private static final long FINISH_MILLIS = 14_000;

  private static final long WINDOW_MILLIS = 3_000;
  private static final String ID = "00000000c0ffee02";

  private RemovedRouteCase() {}

  static void run(World world, boolean isTroubled) throws IOException {
    Deployment deployment = new Deployment(world, WORKERS, 3, 2);
    Entry entry = deployment.entries.get(0);
    String task = "\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":" + STEP_MILLIS;
    String first = "{\"count\":2," + task + "}";
    String second = "{\"count\":2," + task + ",\"depends_on\":[0]}";
    String body = "{\"spec\":\"" + STEP_MILLIS + "\",\"phases\":[" + first + "," + second + "]}";
    if (entry.call("POST", Deployment.PREFIX + ID, body).status() != 200) {
      throw new IOException("the submission was not accepted");
    }
    if (!deployment.await(10_000, () -> deployment.workerOf(ID + ".0.0.") != null)) {
      throw new IOException("its first step was not started");
    }
    World.sleep(CHANGE_AFTER_MILLIS);
    if (isTroubled) {
      deployment.putManifest(2, "other");
    } else {
      deployment.putManifest(2, "jobs", "other", "third");
    }
    // That was the last of the traffic and the only change; nothing is disturbed.
    boolean isStarted = deployment.await(FINISH_MILLIS, () -> isSecondStepStarted(deployment));
    entry.call("GET", Deployment.PREFIX + ID, "");
    entry.call("GET", "/other/", "");
    isStarted |= deployment.await(WINDOW_MILLIS, () -> isSecondStepStarted(deployment));
    world.log("the second step %s", isStarted ? "has started" : "has not started");
    if (!isStarted) {
      world.broken(
          "LOST: nothing runs of an accepted submission that nobody canceled; the turn of its"
              + " second step has come, and all workers are free");
    }
  }

  private static boolean isSecondStepStarted(Deployment deployment) {
    return deployment.workerOf(ID + ".0.1.") != null;
  }
}
