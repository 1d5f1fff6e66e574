package org.hemlockpick.daemon;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Provides the sections of a settings file and reports unknown ones. */
final class SettingsDocument {
  private final FaultCollector faults;
  private final TomlParseResult toml;
  private final Set<String> known = new HashSet<>();

  SettingsDocument(FaultCollector faults, TomlParseResult toml) {
    this.faults = faults;
    this.toml = toml;
  }

  /** Reports the syntax errors of the file; returns whether there are any. */
  boolean hasSyntaxFaults() {
    toml.errors()
        .forEach(
            error -> faults.add(error.position().line(), "", String.valueOf(error.getMessage())));
    return toml.hasErrors();
  }

  /** Returns a section; an empty one if the file lacks it. */
  SettingsSection get(String name) {
    known.add(name);
    Object value = toml.get(List.of(name));
    int line = line(name);
    if (value == null || value instanceof TomlTable) {
      return new SettingsSection(faults, name, (TomlTable) value, line);
    }
    faults.add(line, name, Messages.NOT_A_TABLE);
    return new SettingsSection(faults, name, null, line);
  }

  /** Marks a key of the file as known that is not read as a section. */
  void markKnown(String name) {
    known.add(name);
  }

  /** Reports every section that is not known. */
  void reportUnknownSections() {
    for (String name : toml.keySet()) {
      if (!known.contains(name)) {
        faults.add(line(name), name, Messages.UNKNOWN_SECTION);
      }
    }
  }

  private int line(String name) {
    TomlPosition position = toml.inputPositionOf(List.of(name));
    return position == null ? 1 : position.line();
  }
}
