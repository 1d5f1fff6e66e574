package org.hemlockpick.internal.batch;

import org.hemlockpick.proto.Capacity;
import org.hemlockpick.proto.JobSpec;
import org.hemlockpick.proto.Resources;

/**
 * Holds amounts of the resources of a worker.
 *
 * @param cpuMillis thousandths of a processor
 * @param memoryMb memory in megabytes
 * @param accelerators number of accelerators
 */
record Amounts(long cpuMillis, long memoryMb, long accelerators) {
  static final Amounts NONE = new Amounts(0, 0, 0);

  static Amounts of(Capacity capacity) {
    return new Amounts(capacity.getCpuMillis(), capacity.getMemoryMb(), capacity.getAccelerators());
  }

  static Amounts of(Resources resources) {
    return new Amounts(
        resources.getCpuMillis(), resources.getMemoryMb(), resources.getAccelerators());
  }

  static Amounts of(JobSpec spec) {
    return new Amounts(spec.getCpuMillis(), spec.getMemoryMb(), spec.getAccelerators());
  }

  Amounts plus(Amounts other) {
    return new Amounts(
        cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
  }

  Amounts minus(Amounts other) {
    return new Amounts(
        cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
  }

  Amounts percent(int percent) {
    return new Amounts(
        cpuMillis * percent / 100, memoryMb * percent / 100, accelerators * percent / 100);
  }

  boolean holds(Amounts wanted) {
    return wanted.cpuMillis <= cpuMillis
        && wanted.memoryMb <= memoryMb
        && wanted.accelerators <= accelerators;
  }

  Resources toResources() {
    return Resources.newBuilder()
        .setCpuMillis((int) cpuMillis)
        .setMemoryMb((int) memoryMb)
        .setAccelerators((int) accelerators)
        .build();
  }
}
