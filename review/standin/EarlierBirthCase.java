import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A worker goes down and up twice while the time of day of its machine jumps. */
final class EarlierBirthCase {
  private static final int WORKERS = 8;
  private static final long JUMP_MILLIS = 2_000;
  private static final long DOWN_MILLIS = 400;
  private static final int SUBMISSIONS = 10;

  /** The finish_s of the pages, and the 3 s for which a task whose turn has come may not wait. */
  private static final long FINISH_MILLIS = 14_000;

  private static final long WINDOW_MILLIS = 3_000;

  private EarlierBirthCase() {}

  static void run(World world, boolean isTroubled) throws IOException {
    Deployment deployment = new Deployment(world, WORKERS, 3, 4);
    Entry entry = deployment.entries.get(0);
    World.sleep(4_000);
    if (isTroubled) {
      Worker worker = deployment.workers.get(0);
      worker.setTimeOfDayAhead(JUMP_MILLIS);
      worker.crash(DOWN_MILLIS);
      World.sleep(DOWN_MILLIS + 800);
      worker.setTimeOfDayAhead(0);
      worker.crash(DOWN_MILLIS);
    }
    World.sleep(5_000);
    // Nothing is disturbed from here on.
    String task = "\"count\":8,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":500,\"anti_affinity\":1";
    String phases = "{" + task + "},{" + task + ",\"depends_on\":[0]}";
    List<String> accepted = new ArrayList<>();
    for (int i = 0; i < SUBMISSIONS; i++) {
      String id = String.format("00000000c0ffe3%02x", i);
      String body = "{\"spec\":\"500\",\"phases\":[" + phases + "]}";
      if (entry.call("POST", Deployment.PREFIX + id, body).status() == 200) {
        accepted.add(id);
      }
      World.sleep(1_000);
    }
    World.sleep(FINISH_MILLIS);
    List<String> open = new ArrayList<>();
    for (String id : accepted) {
      if (!entry.call("GET", Deployment.PREFIX + id, "").body().contains("completed")) {
        open.add(id);
      }
    }
    deployment.await(
        WINDOW_MILLIS,
        () -> {
          open.removeIf(id -> deployment.workerOf(id) != null);
          return open.isEmpty();
        });
    world.log("%d of %d are open and have nothing running", open.size(), accepted.size());
    if (!open.isEmpty()) {
      world.broken("LOST: nothing runs of %s, and nearly all capacity is free", open);
    }
  }
}
