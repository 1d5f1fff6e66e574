import java.util.ArrayList;
import java.util.List;

/** Callers that nobody controls send large bodies of legal size; ordinary callers go on. */
final class LargeBodies extends Case {
  private static final int STEPS = 9_000;
  private static final String ORDINARY =
      "{\"spec\":\"ordinary\",\"phases\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300}]}";

  private static final int WORKERS = 8;
  private static final int CPU = 32_000;

  /** Number of the large bodies, one for each entry instance. */
  private static final int BODIES = 3;

  private static final int DEADLINE_MILLIS = 3_000;
  private static final long TRAFFIC_MILLIS = 30_000;

  /** The bound `finish_s` of the pages: how long after the traffic submissions are asked for. */
  private static final long FINISH_MILLIS = 14_000;

  /** How long nothing of a submission may run while its turn has come. */
  private static final long IDLE_MILLIS = 3_000;

  public static void main(String[] arguments) throws Exception {
    run(new LargeBodies(), arguments);
  }

  @Override
  void addWorkers() throws Exception {
    for (int i = 0; i < WORKERS; i++) {
      fleet.add("w-" + i, "a", CPU);
    }
  }

  /** Returns a submission of many small steps, below the largest body that the manifest allows. */
  private static String largeBody() {
    StringBuilder body = new StringBuilder("{\"spec\":\"large\",\"phases\":[");
    for (int i = 0; i < STEPS; i++) {
      body.append(i == 0 ? "" : ",").append("{\"count\":1,\"cpu\":9}");
    }
    return body.append("]}").toString();
  }

  @Override
  Verdict play() throws Exception {
    List<Nodes.Node> entries = nodes.all();
    submit(entries.get(0), QUICK, "00000000000000aa", ORDINARY, 3_000);
    if (fleet.awaitStart("00000000000000aa", 0, world.now() + 5_000) == null) {
      return Verdict.NOT_RUN;
    }
    if (trouble) {
      String large = largeBody();
      world.log("each large body has " + large.length() + " bytes");
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < BODIES; i++) {
        Nodes.Node entry = entries.get(i % entries.size());
        String job = String.format("%016x", 0xb000 + i);
        Thread caller =
            new Thread(
                () -> {
                  try {
                    submit(entry, BATCH, job, large, 3_000);
                  } catch (Exception e) {
                    world.log("caller failed: " + e);
                  }
                });
        caller.start();
        callers.add(caller);
      }
      for (Thread caller : callers) {
        caller.join();
      }
    }
    List<String> accepted = new ArrayList<>();
    int sent = 0;
    int unanswered = 0;
    long end = world.now() + TRAFFIC_MILLIS;
    while (world.now() < end) {
      Nodes.Node entry = entries.get(sent % entries.size());
      String job = String.format("%016x", 0xc000 + sent++);
      Client.Answer answer = submit(entry, QUICK, job, ORDINARY, DEADLINE_MILLIS);
      if (answer.status() == 200) {
        accepted.add(job);
      }
      unanswered += answer.status() == 0 ? 1 : 0;
      World.sleep(1_000);
    }
    world.log("ordinary callers: " + sent + " sent, " + accepted.size() + " accepted, "
        + unanswered + " without an answer in " + DEADLINE_MILLIS + " ms");
    World.sleep(FINISH_MILLIS);
    long asked = world.now();
    int unknown = 0;
    for (String job : accepted.subList(0, Math.min(3, accepted.size()))) {
      int status = get(entries.get(0), QUICK, job).status();
      unknown += status == 200 ? 0 : 1;
    }
    World.sleep(IDLE_MILLIS - (world.now() - asked));
    int idle = 0;
    for (String job : accepted) {
      if (fleet.of(job).isEmpty()) {
        idle++;
        world.log("nothing of " + job + " has begun, long after it was accepted");
      }
    }
    long used = fleet.workers().stream().mapToLong(worker -> worker.used()).sum();
    world.log("in use at the end: " + used + " of " + WORKERS * CPU + " thousandths of a core");
    boolean isHalfFree = used * 2 < (long) WORKERS * CPU;
    return unknown > 0 || (idle > 0 && isHalfFree) ? Verdict.BROKEN : Verdict.HELD;
  }
}
