package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Tests that the totals of a worker's runs are always those of the runs that it has. */
class WorkerRunsTest {
  private static final int TARGET = 50;

  /** Kinds of changes: a serving task or a filler begins, a run ends, a run is reported. */
  private static final int CHANGES = 4;

  private static final String[] IMAGES = {"a", "b", "c"};

  @Property(tries = 200, seed = "20261204")
  void totalsFollowEveryChange(
      @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 1_000) Integer> changes) {
    RunFactory factory = new RunFactory(TARGET);
    Worker worker = RunFactory.worker("w");
    for (int change : changes) {
      apply(change, factory, worker);
      assertTotals(worker);
    }
  }

  private static void apply(int change, RunFactory factory, Worker worker) {
    String image = IMAGES[change / CHANGES % IMAGES.length];
    List<Run> runs = new ArrayList<>(worker.runs());
    switch (change % CHANGES) {
      case 0 -> factory.run(worker, image, true);
      case 1 -> factory.run(worker, image, false);
      case 2 -> runs.stream().findAny().ifPresent(worker::remove);
      default -> {
        if (!runs.isEmpty()) {
          RunFactory.report(runs.get(change % runs.size()), change);
        }
      }
    }
  }

  private static void assertTotals(Worker worker) {
    ResourceAmounts free = worker.entry().capacity();
    long serving = 0;
    long fillers = 0;
    Set<String> images = new TreeSet<>();
    double worst = 0;
    for (Run run : worker.runs()) {
      free = free.minus(run.step().reserved());
      long cpu = run.step().demand().cpuMillis();
      fillers += run.step().filler() ? cpu : 0;
      if (run.step().isServing()) {
        serving += cpu;
        images.add(run.step().image());
        worst = Math.max(worst, InterferenceModel.tailRatio(run));
      }
    }
    assertEquals(free, worker.free());
    assertEquals(serving, worker.servingCpu());
    assertEquals(fillers, worker.fillerCpu());
    assertEquals(images, new TreeSet<>(worker.servingImages()));
    assertEquals(worst, InterferenceModel.worstTailRatio(worker));
  }
}
