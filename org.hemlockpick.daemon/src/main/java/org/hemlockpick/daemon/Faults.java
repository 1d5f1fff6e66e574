package org.hemlockpick.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the faults of one settings file. */
final class Faults {
  private final String file;
  private final List<Fault> faults = new ArrayList<>();

  Faults(String file) {
    this.file = file;
  }

  void add(int line, String key, String message) {
    faults.add(new Fault(file, line, key, message));
  }

  boolean isEmpty() {
    return faults.isEmpty();
  }

  /** Returns the faults in the order of their lines. */
  List<Fault> sorted() {
    return faults.stream().sorted(Comparator.comparingInt(Fault::line)).toList();
  }
}
