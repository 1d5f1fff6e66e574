import java.util.ArrayList;
import java.util.List;

/** A schedule of many occurrences has run for hours; ordinary callers go on. */
final class LongSchedule extends Case {
  private static final int WORKERS = 4;
  private static final int CPU = 32_000;
  private static final String SCHEDULE = "00000000000000d1";
  private static final long INTERVAL_MILLIS = 10_000;
  private static final int OCCURRENCES = 4_500;

  /** Occurrences that are due when the schedule is handed in. */
  private final int due = trouble ? 3_750 : 100;

  private static final String ORDINARY =
      "{\"spec\":\"ordinary\",\"phases\":[{\"count\":20,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":100},"
          + "{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":100,\"depends_on\":[0]}]}";

  private static final long TRAFFIC_MILLIS = 25_000;

  /** The bound `finish_s` of the pages. */
  private static final long FINISH_MILLIS = 14_000;

  private static final long IDLE_MILLIS = 3_000;

  private static final long AFTER_KILL_MILLIS = 20_000;

  public static void main(String[] arguments) throws Exception {
    run(new LongSchedule(), arguments);
  }

  @Override
  void addWorkers() throws Exception {
    for (int i = 0; i < WORKERS; i++) {
      fleet.add("w-" + i, "a", CPU);
    }
  }

  @Override
  Verdict play() throws Exception {
    List<Nodes.Node> entries = nodes.all();
    long start = System.currentTimeMillis() - due * INTERVAL_MILLIS;
    String schedule =
        "{\"spec\":\"readings\",\"phases\":[{\"count\":1,\"cpu\":100,\"estimate_ms\":50},"
            + "{\"count\":1,\"cpu\":100,\"estimate_ms\":50,\"depends_on\":[0]}],\"start_at_ms\":"
            + start + ",\"interval_ms\":" + INTERVAL_MILLIS + ",\"repeat_count\":" + OCCURRENCES + "}";
    if (submit(entries.get(0), BATCH, SCHEDULE, schedule, 3_000).status() != 200) {
      return Verdict.NOT_RUN;
    }
    long until = world.now() + 40_000;
    while (done(SCHEDULE) < 2 * due && world.now() < until) {
      World.sleep(200);
    }
    world.log(done(SCHEDULE) + " tasks of the schedule have ended `done`");
    List<String> accepted = new ArrayList<>();
    long end = world.now() + TRAFFIC_MILLIS;
    for (int sent = 0; world.now() < end; sent++) {
      String job = String.format("%016x", 0xc000 + sent);
      if (submit(entries.get(sent % 3), QUICK, job, ORDINARY, 3_000).status() == 200) {
        accepted.add(job);
      }
      World.sleep(150);
    }
    World.sleep(FINISH_MILLIS);
    Verdict waiting = judge(entries, accepted);
    int again = killHolder(accepted);
    return again > 0 ? Verdict.BROKEN : waiting;
  }

  /**
   * Kills the holder, with and without the disruption, and returns how many tasks of ordinary
   * submissions start again though they have ended `done` long before.
   */
  private int killHolder(List<String> accepted) throws Exception {
    Nodes.Node holder = nodes.holder();
    if (holder == null) {
      return 0;
    }
    holder.signal("KILL");
    long killed = world.now();
    World.sleep(AFTER_KILL_MILLIS);
    int again = 0;
    for (String job : accepted) {
      List<Fleet.Event> events = fleet.of(job);
      for (Fleet.Event start : events) {
        boolean isAgain =
            start.what().equals("start")
                && start.at() >= killed
                && events.stream()
                    .anyMatch(
                        end ->
                            end.what().equals("done")
                                && end.task().equals(start.task())
                                && end.at() < start.at() - 1_000);
        if (isAgain) {
          again++;
          world.log(start.task() + " runs again, though it has ended `done`");
        }
      }
    }
    world.log(again + " tasks of ordinary submissions that had ended `done` were started again");
    return again;
  }

  private long done(String job) {
    return fleet.of(job).stream().filter(event -> event.what().equals("done")).count();
  }

  /** Looks for submissions of which nothing runs for 3 s though the turn of a task has come. */
  private Verdict judge(List<Nodes.Node> entries, List<String> accepted) throws Exception {
    List<String> waiting = new ArrayList<>();
    for (String job : accepted) {
      if (isIdle(job)) {
        waiting.add(job);
      }
    }
    World.sleep(IDLE_MILLIS);
    waiting.removeIf(job -> !isIdle(job));
    long used = fleet.workers().stream().mapToLong(worker -> worker.used()).sum();
    world.log(accepted.size() + " ordinary submissions accepted, " + waiting.size()
        + " with nothing running for 3 s while a task's turn has come");
    world.log("in use: " + used + " of " + WORKERS * CPU + " thousandths of a core");
    for (Worker worker : fleet.workers()) {
      world.log(worker.id() + " lists " + worker.listedEnds() + " ends that nobody took note of");
    }
    for (String job : waiting.subList(0, Math.min(3, waiting.size()))) {
      get(entries.get(0), QUICK, job);
    }
    boolean isHalfFree = used * 2 < (long) WORKERS * CPU;
    return !waiting.isEmpty() && isHalfFree ? Verdict.BROKEN : Verdict.HELD;
  }

  /** Returns whether some of the 21 tasks are not done, and none of them runs. */
  private boolean isIdle(String job) {
    long started = fleet.of(job).stream().filter(event -> event.what().equals("start")).count();
    long ended = fleet.of(job).size() - started;
    return done(job) < 21 && started == ended;
  }
}
