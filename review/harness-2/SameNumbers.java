import java.util.List;

/** Two callers of two queues number their submissions from 1, each for itself. */
final class SameNumbers extends Case {
  private static final String BODY =
      "{\"spec\":\"%s\",\"phases\":[{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300}]}";

  public static void main(String[] arguments) throws Exception {
    run(new SameNumbers(), arguments);
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
    int lost = 0;
    for (int i = 1; i <= 3; i++) {
      String first = String.format("%016x", i);
      String second = String.format("%016x", trouble ? i : 100 + i);
      submit(entries.get(0), QUICK, first, BODY.formatted("quick"), 3_000);
      int status = submit(entries.get(1), BATCH, second, BODY.formatted("batch"), 3_000).status();
      World.sleep(4_000);
      get(entries.get(0), QUICK, first);
      int shown = get(entries.get(1), BATCH, second).status();
      lost += status == 200 && shown == 410 ? 1 : 0;
    }
    return lost > 0 ? Verdict.BROKEN : Verdict.HELD;
  }
}
