package org.hemlockpick.daemon;

import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockpick.lib.EntryInstance;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;

/** Implements the loop by the library's entry instance. */
final class EntryLoop implements Loop {
  private final EntryInstance instance;

  EntryLoop(
      InstanceSettings settings, long incarnation, InstantSource clock, RandomGenerator random) {
    instance = new EntryInstance(settings, incarnation, clock, random);
  }

  @Override
  public List<Output> tick(List<Input> inputs) {
    return instance.tick(inputs);
  }

  @Override
  public boolean isReady() {
    return instance.isReady();
  }

  @Override
  public boolean isStopped() {
    return instance.isStopped();
  }
}
