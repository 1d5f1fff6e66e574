package org.hemlockpick.world;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.hemlockpick.lib.EntryInstance;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;

/** Records the ticks of one start of an entry instance, with inputs as JSON, and replays them. */
final class Recording {
  private record Tick(long at, List<String> inputs, List<Output> outputs) {}

  private final InstanceSettings settings;
  private final long incarnation;
  private final long startedAt;
  private final long seed;
  private final List<Tick> ticks = new ArrayList<>();

  Recording(InstanceSettings settings, long incarnation, long startedAt, long seed) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.startedAt = startedAt;
    this.seed = seed;
  }

  static RandomGenerator random(long seed) {
    return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  long incarnation() {
    return incarnation;
  }

  void add(long at, List<Input> inputs, List<Output> outputs) {
    ticks.add(new Tick(at, inputs.stream().map(Recording::print).toList(), outputs));
  }

  /** Returns all recorded outputs in order. */
  List<Output> outputs() {
    return ticks.stream().flatMap(tick -> tick.outputs().stream()).toList();
  }

  /** Replays the inputs to a new entry instance and returns its outputs. */
  List<Output> replay() {
    long[] now = {startedAt};
    InstantSource clock = () -> Instant.ofEpochMilli(now[0]);
    EntryInstance instance = new EntryInstance(settings, incarnation, clock, random(seed));
    List<Output> outputs = new ArrayList<>();
    for (Tick tick : ticks) {
      now[0] = tick.at();
      outputs.addAll(instance.tick(tick.inputs().stream().map(Recording::parse).toList()));
    }
    return outputs;
  }

  private static String print(Input input) {
    try {
      return JsonFormat.printer().omittingInsignificantWhitespace().print(input);
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError(e);
    }
  }

  private static Input parse(String json) {
    Input.Builder input = Input.newBuilder();
    try {
      JsonFormat.parser().merge(json, input);
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError(json, e);
    }
    return input.build();
  }
}
