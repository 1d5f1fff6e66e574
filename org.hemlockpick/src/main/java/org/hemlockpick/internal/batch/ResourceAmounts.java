package org.hemlockpick.internal.batch;

import org.hemlockpick.proto.Capacity;
import org.hemlockpick.proto.JobSpec;
import org.hemlockpick.proto.Resources;

/**
 * Amounts of the resources that a worker has or a task needs.
 *
 * @param cpuMillis thousandths of a CPU core
 * @param memoryMb memory in megabytes
 * @param accelerators number of accelerators
 */
record ResourceAmounts(long cpuMillis, long memoryMb, long accelerators) {
  static final ResourceAmounts NONE = new ResourceAmounts(0, 0, 0);

  static ResourceAmounts of(Capacity capacity) {
    return new ResourceAmounts(
        capacity.getCpuMillis(), capacity.getMemoryMb(), capacity.getAccelerators());
  }

  static ResourceAmounts of(Resources resources) {
    return new ResourceAmounts(
        resources.getCpuMillis(), resources.getMemoryMb(), resources.getAccelerators());
  }

  static ResourceAmounts of(JobSpec spec) {
    return new ResourceAmounts(spec.getCpuMillis(), spec.getMemoryMb(), spec.getAccelerators());
  }

  ResourceAmounts plus(ResourceAmounts other) {
    return new ResourceAmounts(
        cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
  }

  ResourceAmounts minus(ResourceAmounts other) {
    return new ResourceAmounts(
        cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
  }

  ResourceAmounts percent(int percent) {
    return new ResourceAmounts(
        cpuMillis * percent / 100, memoryMb * percent / 100, accelerators * percent / 100);
  }

  boolean covers(ResourceAmounts need) {
    return need.cpuMillis <= cpuMillis
        && need.memoryMb <= memoryMb
        && need.accelerators <= accelerators;
  }

  Resources toResources() {
    return Resources.newBuilder()
        .setCpuMillis((int) cpuMillis)
        .setMemoryMb((int) memoryMb)
        .setAccelerators((int) accelerators)
        .build();
  }
}
