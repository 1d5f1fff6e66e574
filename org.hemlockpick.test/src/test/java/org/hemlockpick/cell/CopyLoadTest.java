package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestReporter;

/** Tests what copies gain and cost under {@link CopyLoad}; publishes the rows of the page. */
class CopyLoadTest {
  private static final int JOBS = 600;
  private static final int SEEDS = 3;

  /** Mean gaps between jobs at which workers are never full, and full in each burst. */
  private static final long MODERATE_GAP_MILLIS = 200;

  private static final long HIGH_GAP_MILLIS = 100;

  private final List<Long> inOrder = new ArrayList<>();
  private final List<Long> without = new ArrayList<>();
  private final List<Long> with = new ArrayList<>();
  private int copies;

  private void play(long gapMillis, boolean isTailOfTask, TestReporter reporter) {
    long[] late = new long[3];
    long wasted = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      CopyLoad load = new CopyLoad(seed, new CopyLoad.Kind(JOBS, gapMillis, isTailOfTask));
      late[0] += load.countLate(add(inOrder, load.playInOrder()));
      late[1] += load.countLate(add(without, load.playInCell(false)));
      late[2] += load.countLate(add(with, load.playInCell(true)));
      copies += load.copies;
      wasted += load.wastedMillis;
    }
    reporter.publishEntry("first come", CopyLoad.row(inOrder, late[0]));
    reporter.publishEntry("without copies", CopyLoad.row(without, late[1]));
    reporter.publishEntry("with copies", CopyLoad.row(with, late[2]));
    reporter.publishEntry("copies", copies + ", lost " + wasted + " ms");
  }

  private static List<Long> add(List<Long> all, List<Long> took) {
    all.addAll(took);
    return took;
  }

  /** Guards against stragglers that delay the steps by their whole time. */
  @Test
  void stragglersAreOvertakenWhileThereIsCapacity(TestReporter reporter) {
    play(MODERATE_GAP_MILLIS, false, reporter);
    assertTrue(CopyLoad.quantile(with, 0.97) < CopyLoad.quantile(without, 0.97) / 2);
    assertTrue(CopyLoad.quantile(with, 0.97) < CopyLoad.quantile(inOrder, 0.97) / 2);
    assertTrue(CopyLoad.quantile(with, 0.5) <= CopyLoad.quantile(without, 0.5) * 1.05);
    assertTrue(copies < JOBS * SEEDS / 4, () -> copies + " copies");
  }

  /** Guards against copies that delay other tasks when all workers are busy. */
  @Test
  void copiesDelayNothingInBursts(TestReporter reporter) {
    play(HIGH_GAP_MILLIS, false, reporter);
    assertTrue(CopyLoad.quantile(with, 0.97) < CopyLoad.quantile(without, 0.97) * 0.75);
    assertTrue(CopyLoad.quantile(with, 0.5) <= CopyLoad.quantile(without, 0.5) * 1.05);
  }

  /** Guards against copies of tasks that take as long elsewhere delaying others. */
  @Test
  void copiesThatGainNothingDelayNothing(TestReporter reporter) {
    play(HIGH_GAP_MILLIS, true, reporter);
    assertTrue(CopyLoad.quantile(with, 0.97) <= CopyLoad.quantile(without, 0.97) * 1.1);
    assertTrue(CopyLoad.quantile(with, 0.5) <= CopyLoad.quantile(without, 0.5) * 1.05);
  }
}
