package org.hemlockpick.daemon;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.WeightedSnapshot;
import com.codahale.metrics.WeightedSnapshot.WeightedSample;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Counts values in buckets over a window of slices: an update costs one atomic addition and keeps
 * no value. Each value up to {@value #EXACT_VALUES} has a bucket of its own; above, a bucket's
 * bounds differ by an eighth at most, and its upper bound stands for its values.
 */
final class BucketReservoir implements Reservoir {
  private static final int SUB_BUCKET_BITS = 3;
  private static final int SUB_BUCKETS = 1 << SUB_BUCKET_BITS;
  private static final int EXACT_VALUES = 2 * SUB_BUCKETS;
  private static final int BUCKETS = index(Integer.MAX_VALUE) + 1;

  private final AtomicIntegerArray[] slices;
  private volatile int current;

  /**
   * Creates an empty reservoir.
   *
   * @param sliceCount number of slices of the window, at least 2
   */
  BucketReservoir(int sliceCount) {
    slices = new AtomicIntegerArray[sliceCount];
    for (int i = 0; i < sliceCount; i++) {
      slices[i] = new AtomicIntegerArray(BUCKETS);
    }
  }

  /** Drops the oldest slice and begins a new one; to be called on one thread only. */
  void rotate() {
    int next = (current + 1) % slices.length;
    AtomicIntegerArray oldest = slices[next];
    for (int i = 0; i < BUCKETS; i++) {
      oldest.set(i, 0);
    }
    current = next;
  }

  @Override
  public void update(long value) {
    slices[current].incrementAndGet(index(Math.min(Integer.MAX_VALUE, Math.max(0, value))));
  }

  @Override
  public int size() {
    int size = 0;
    for (int i = 0; i < BUCKETS; i++) {
      size += count(i);
    }
    return size;
  }

  @Override
  public Snapshot getSnapshot() {
    List<WeightedSample> samples = new ArrayList<>();
    for (int i = 0; i < BUCKETS; i++) {
      int count = count(i);
      if (count > 0) {
        samples.add(new WeightedSample(upperBound(i), count));
      }
    }
    return new WeightedSnapshot(samples);
  }

  private int count(int bucket) {
    int count = 0;
    for (AtomicIntegerArray slice : slices) {
      count += slice.get(bucket);
    }
    return count;
  }

  private static int index(long value) {
    if (value < EXACT_VALUES) {
      return (int) value;
    }
    int shift = shift(value);
    return shift * SUB_BUCKETS + (int) (value >> shift);
  }

  /** Returns by how many bits a value is shifted so that the rest selects its sub-bucket. */
  private static int shift(long value) {
    return Long.SIZE - 1 - Long.numberOfLeadingZeros(value) - SUB_BUCKET_BITS;
  }

  private static long upperBound(int bucket) {
    if (bucket < EXACT_VALUES) {
      return bucket;
    }
    int shift = bucket / SUB_BUCKETS - 1;
    long leading = bucket - (long) shift * SUB_BUCKETS;
    return ((leading + 1) << shift) - 1;
  }
}
