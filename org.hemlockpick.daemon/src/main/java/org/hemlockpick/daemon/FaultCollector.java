package org.hemlockpick.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the faults of one settings file. */
final class FaultCollector {
  private final String file;
  private final List<SettingsFault> faults = new ArrayList<>();

  FaultCollector(String file) {
    this.file = file;
  }

  void add(int line, String key, String message) {
    faults.add(new SettingsFault(file, line, key, message));
  }

  boolean isEmpty() {
    return faults.isEmpty();
  }

  /** Returns the faults in the order of their lines. */
  List<SettingsFault> sorted() {
    return faults.stream().sorted(Comparator.comparingInt(SettingsFault::line)).toList();
  }
}
