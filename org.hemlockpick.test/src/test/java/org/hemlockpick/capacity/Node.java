package org.hemlockpick.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.hemlockpick.lib.EntryInstance;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;
import org.jspecify.annotations.Nullable;

/** Runs one entry instance and measures its ticks and messages. */
final class Node {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  final String name;
  final Traffic traffic = new Traffic();
  private final List<Long> tickNanos = new ArrayList<>();
  private List<Input> inbox = new ArrayList<>();
  private @Nullable EntryInstance instance;

  Node(String name, EntryInstance instance) {
    this.name = name;
    this.instance = instance;
  }

  EntryInstance instance() {
    return Objects.requireNonNull(instance);
  }

  /** Receives a copy of an input, which shares no memory with its sender, as from the network. */
  void receive(Input.Builder input) {
    try {
      Input copy = Input.parseFrom(input.build().toByteArray());
      traffic.received(copy);
      inbox.add(copy);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("an encoded input cannot be decoded", e);
    }
  }

  List<Output> tick() {
    List<Input> inputs = inbox;
    inbox = new ArrayList<>();
    long before = THREADS.getCurrentThreadCpuTime();
    List<Output> outputs = instance().tick(inputs);
    tickNanos.add(THREADS.getCurrentThreadCpuTime() - before);
    outputs.forEach(traffic::sent);
    return outputs;
  }

  /** Starts a measurement; undelivered inputs are dropped. */
  void resetMeasurements() {
    inbox.clear();
    traffic.clear();
    tickNanos.clear();
  }

  /**
   * Returns the processor time of the ticks since {@link #resetMeasurements}, in ascending order.
   */
  List<Long> tickNanos() {
    return tickNanos.stream().sorted().toList();
  }

  /** Drops the reference to the entry instance, so that its share of the heap can be measured. */
  void releaseInstance() {
    instance = null;
  }
}
