import java.util.ArrayList;
import java.util.List;

/** Callers that nobody controls send many large bodies of legal size, with many tasks each. */
final class LargeSubmissions extends Case {
  private static final int BODIES = 40;
  private static final int PHASES = 90;
  private static final int TASKS_OF_A_PHASE = 100;
  private static final int IMAGE_BYTES = 400;
  private static final int WORKERS = 8;
  private static final String ORDINARY =
      "{\"spec\":\"ordinary\",\"phases\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300}]}";

  private static final long PLAYED_MILLIS = 70_000;
  private static final long RESTART_MILLIS = 1_000;

  /** A fault: processes end by themselves three times on a tenth of the machines, two at least. */
  private static final int ENDS = 3;

  private static final int MACHINES = 2;

  public static void main(String[] arguments) throws Exception {
    run(new LargeSubmissions(), arguments);
  }

  @Override
  void addWorkers() throws Exception {
    for (int i = 0; i < WORKERS; i++) {
      fleet.add("w-" + i, "a", 32_000);
    }
  }

  private static String largeBody() {
    String image = "x".repeat(IMAGE_BYTES);
    StringBuilder body = new StringBuilder("{\"spec\":\"large\",\"phases\":[");
    for (int i = 0; i < PHASES; i++) {
      body.append(i == 0 ? "" : ",")
          .append("{\"count\":" + TASKS_OF_A_PHASE + ",\"cpu\":1000,\"mem_mb\":64,")
          .append("\"estimate_ms\":2000,\"image\":\"" + image + "\"}");
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
    List<Thread> callers = trouble ? sendLargeBodies(entries) : List.of();
    int[] ends = new int[entries.size()];
    long[] restartAt = new long[entries.size()];
    long until = world.now() + PLAYED_MILLIS;
    long nextCallAt = 0;
    int calls = 0;
    int unanswered = 0;
    while (world.now() < until && !isFault(ends)) {
      for (int i = 0; i < ends.length; i++) {
        Nodes.Node entry = entries.get(i);
        if (!entry.isAlive() && restartAt[i] == 0) {
          ends[i]++;
          restartAt[i] = world.now() + RESTART_MILLIS;
          world.log("process " + entry.name + " has ended by itself, status "
              + entry.process.exitValue() + ", " + ends[i] + " times");
        } else if (restartAt[i] > 0 && world.now() >= restartAt[i]) {
          restartAt[i] = 0;
          entry.start();
        }
      }
      if (world.now() >= nextCallAt) {
        nextCallAt = world.now() + 2_000;
        String job = String.format("%016x", 0xc000 + calls);
        Nodes.Node entry = entries.get(calls++ % entries.size());
        unanswered += submit(entry, QUICK, job, ORDINARY, 1_500).status() == 0 ? 1 : 0;
      }
      World.sleep(100);
    }
    for (Thread caller : callers) {
      caller.join(1_000);
    }
    int begun = 0;
    for (int i = 0; i < calls; i++) {
      begun += fleet.of(String.format("%016x", 0xc000 + i)).isEmpty() ? 0 : 1;
    }
    world.log("ordinary callers: " + calls + " sent, " + unanswered + " without an answer, " + begun
        + " begun");
    return isFault(ends) ? Verdict.BROKEN : Verdict.HELD;
  }

  private List<Thread> sendLargeBodies(List<Nodes.Node> entries) {
    String large = largeBody();
    world.log("each of " + BODIES + " large bodies has " + large.length() + " bytes");
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
      caller.setDaemon(true);
      caller.start();
      callers.add(caller);
    }
    return callers;
  }

  private static boolean isFault(int[] ends) {
    int machines = 0;
    for (int end : ends) {
      machines += end >= ENDS ? 1 : 0;
    }
    return machines >= MACHINES;
  }
}
