import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** A submission is cancelled while its write is still under way; the cancel is acknowledged. */
final class CancelledBefore extends Case {
  private static final String LASTING =
      "{\"spec\":\"watch\",\"phases\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":500,"
          + "\"long_running\":true}]}";

  /** The bounds `cancel_ms` and `stop_ms` of the pages. */
  private static final long CANCEL_MILLIS = 3_000;

  private static final long STOP_MILLIS = 400;

  /** A late write is done 1 to 6 s later. */
  private static final long LATE_MILLIS = 5_800;

  private static final long FREEZE_MILLIS = 4_000;

  public static void main(String[] arguments) throws Exception {
    run(new CancelledBefore(), arguments);
  }

  @Override
  void addWorkers() throws Exception {
    for (int i = 0; i < 8; i++) {
      fleet.add("w-" + i, "a", 32_000);
    }
  }

  @Override
  Verdict play() throws Exception {
    List<Nodes.Node> entries = nodes.all();
    submit(entries.get(0), QUICK, "00000000000000aa", LASTING, 3_000);
    if (fleet.awaitStart("00000000000000aa", 0, world.now() + 5_000) == null
        || cancel(entries.get(0), QUICK, "00000000000000aa").status() != 200) {
      return Verdict.NOT_RUN;
    }
    world.log("-- answers of the store are lost, and the writes done late");
    boolean brokenByStore = playLateWrite(entries);
    World.sleep(5_000);
    world.log("-- an entry instance freezes while a caller leaves");
    boolean brokenByFreeze = playFreeze(entries);
    world.log("broken after a late write: " + brokenByStore + ", after a freeze: " + brokenByFreeze);
    return brokenByStore || brokenByFreeze ? Verdict.BROKEN : Verdict.HELD;
  }

  private boolean playLateWrite(List<Nodes.Node> entries) throws Exception {
    String job = "00000000000000b1";
    if (trouble) {
      store.doLate(transaction -> writes(transaction, job + "/s"), LATE_MILLIS);
    }
    Client.Answer answer = submit(entries.get(0), QUICK, job, LASTING, 3_000);
    store.doLate(transaction -> false, 0);
    if (trouble && (answer.status() == 429 || answer.status() == 503)) {
      world.log("it was said not to be accepted");
    }
    return isStartedAfterCancel(entries.get(1), job);
  }

  private static boolean writes(JsonNode transaction, String key) {
    for (JsonNode row : transaction.path("write")) {
      if (row.path("key").asText().equals(key)) {
        return true;
      }
    }
    return false;
  }

  private boolean playFreeze(List<Nodes.Node> entries) throws Exception {
    String job = "00000000000000b2";
    Nodes.Node holder = nodes.holder();
    Nodes.Node frozen = null;
    Nodes.Node other = null;
    for (Nodes.Node entry : entries) {
      if (entry != holder) {
        other = frozen == null ? other : entry;
        frozen = frozen == null ? entry : frozen;
      }
    }
    if (holder == null || frozen == null || other == null) {
      return false;
    }
    world.log("the cell is held by " + holder.name);
    if (trouble) {
      Nodes.Node target = frozen;
      target.signal("STOP");
      world
          .threads()
          .execute(
              () -> {
                World.sleep(FREEZE_MILLIS);
                try {
                  target.signal("CONT");
                } catch (Exception e) {
                  world.log("not continued: " + e);
                }
              });
    }
    // The caller leaves after half of its objective.
    submit(frozen, QUICK, job, LASTING, 200);
    return isStartedAfterCancel(other, job);
  }

  /** Cancels a job, and returns whether a task of it starts or runs on too long after that. */
  private boolean isStartedAfterCancel(Nodes.Node entry, String job) throws Exception {
    int status = cancel(entry, QUICK, job).status();
    long acknowledged = world.now();
    if (status != 410 && (status < 200 || status > 299)) {
      world.log("the cancel has no acknowledgement");
      return false;
    }
    Fleet.Event start = fleet.awaitStart(job, acknowledged + CANCEL_MILLIS, acknowledged + 10_000);
    World.sleep(acknowledged + CANCEL_MILLIS + STOP_MILLIS + 10_000 - world.now());
    long running =
        fleet.workers().stream()
            .flatMap(worker -> worker.running().stream())
            .filter(task -> task.startsWith(job))
            .count();
    if (start != null) {
      world.log(
          start.task() + " was started " + (start.at() - acknowledged)
              + " ms after the cancelling was acknowledged");
    }
    world.log(running + " tasks of " + job + " still run "
        + (world.now() - acknowledged) + " ms after that");
    get(entry, QUICK, job);
    cancel(entry, QUICK, job);
    return start != null || running > 0;
  }
}
