package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.Snapshot;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests the values that a histogram of buckets gives back. */
class BucketReservoirTest {
  private final BucketReservoir reservoir = new BucketReservoir(3);

  @Property
  void valueIsRoundedUpByAnEighthAtMost(@ForAll @LongRange(max = Integer.MAX_VALUE) long value) {
    BucketReservoir single = new BucketReservoir(2);
    single.update(value);
    long max = single.getSnapshot().getMax();
    assertTrue(max >= value && max <= value + value / 8, () -> value + " is shown as " + max);
  }

  @Test
  void quantilesAreThoseOfTheValues() {
    for (int i = 1; i <= 1_000; i++) {
      reservoir.update(i <= 990 ? 4 : 15);
    }
    Snapshot snapshot = reservoir.getSnapshot();
    assertEquals(1_000, reservoir.size());
    assertEquals(4, snapshot.getMedian());
    assertEquals(15, snapshot.get999thPercentile());
  }

  @Test
  void emptyWindowHasNoValues() {
    assertEquals(0, reservoir.size());
    assertEquals(0, reservoir.getSnapshot().getMax());
    assertEquals(0, reservoir.getSnapshot().getMedian());
  }

  /** Guards against values that stay for ever, so that the percentiles tell nothing of today. */
  @Test
  void valuesLeaveWithTheirSlice() {
    reservoir.update(9);
    reservoir.rotate();
    reservoir.rotate();
    reservoir.update(2);
    assertEquals(9, reservoir.getSnapshot().getMax());
    reservoir.rotate();
    assertEquals(2, reservoir.getSnapshot().getMax());
    assertEquals(1, reservoir.size());
  }

  @Test
  void valuesOutsideTheRangeAreCountedAtItsEnds() {
    reservoir.update(-1);
    assertEquals(0, reservoir.getSnapshot().getMax());
    reservoir.update(Long.MAX_VALUE);
    assertEquals(Integer.MAX_VALUE, reservoir.getSnapshot().getMax());
  }
}
