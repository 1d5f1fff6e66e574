package org.hemlockpick.contract;

import io.vavr.control.Validation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.hemlockpick.errors.ContractMessages;
import org.hemlockpick.util.Units;
import org.jspecify.annotations.Nullable;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads the keys of one TOML table and records a fault for each invalid one. */
final class TomlTableReader {
  private static final Pattern NAME = Pattern.compile("[a-z0-9-]{1,63}");

  private final FaultList faults;
  private final TomlTable table;
  private final TomlPosition tablePosition;
  private final String prefix;

  TomlTableReader(FaultList faults, TomlTable table, TomlPosition position, String prefix) {
    this.faults = faults;
    this.table = table;
    this.tablePosition = position;
    this.prefix = prefix;
  }

  Set<String> keys() {
    return table.keySet();
  }

  boolean has(String key) {
    return table.contains(List.of(key));
  }

  void allowOnly(String... known) {
    Set<String> accepted = Set.of(known);
    for (String key : table.keySet()) {
      if (!accepted.contains(key)) {
        fault(key, ContractMessages.UNKNOWN_KEY);
      }
    }
  }

  /** Returns a reader of a nested table, or null if the key is absent or not a table. */
  @Nullable TomlTableReader table(String key) {
    Object value = table.get(List.of(key));
    if (value instanceof TomlTable nested) {
      return new TomlTableReader(faults, nested, position(key), path(key) + ".");
    }
    if (value != null) {
      fault(key, ContractMessages.wrongType("a table"));
    }
    return null;
  }

  String name(String key) {
    String name = string(key);
    if (name != null && !isName(name)) {
      fault(key, ContractMessages.BAD_NAME);
    }
    return name == null ? "" : name;
  }

  int integer(String key, int min, int max) {
    Object value = required(key);
    if (value == null) {
      return min;
    }
    if (!(value instanceof Long number)) {
      fault(key, ContractMessages.wrongType("a whole number"));
      return min;
    }
    if (number < min || number > max) {
      fault(key, ContractMessages.outOfRange(Integer.toString(min), Integer.toString(max)));
      return min;
    }
    return number.intValue();
  }

  int integer(String key, int min, int max, int defaultValue) {
    return has(key) ? integer(key, min, max) : defaultValue;
  }

  boolean flag(String key) {
    Object value = table.get(List.of(key));
    if (value != null && !(value instanceof Boolean)) {
      fault(key, ContractMessages.wrongType("true or false"));
    }
    return Boolean.TRUE.equals(value);
  }

  /** Returns the duration, or null if a fault was recorded. */
  @Nullable Duration duration(String key, String min, String max) {
    String text = string(key);
    Duration value = text == null ? null : valueOrFault(key, Units.duration(text));
    if (value == null) {
      return null;
    }
    boolean tooShort = value.compareTo(Units.duration(min).get()) < 0;
    if (tooShort || value.compareTo(Units.duration(max).get()) > 0) {
      fault(key, ContractMessages.outOfRange(min, max));
      return null;
    }
    return value;
  }

  int bytes(String key, String min, String max, String defaultValue) {
    String text = has(key) ? string(key) : defaultValue;
    Long value = text == null ? null : valueOrFault(key, Units.bytes(text));
    if (value == null) {
      return 0;
    }
    if (value < Units.bytes(min).get() || value > Units.bytes(max).get()) {
      fault(key, ContractMessages.outOfRange(min, max));
      return 0;
    }
    return value.intValue();
  }

  List<String> strings(String key, int maxSize) {
    Object value = required(key);
    if (value == null) {
      return List.of();
    }
    if (!(value instanceof TomlArray array) || !holdsStrings(array)) {
      fault(key, ContractMessages.wrongType("a list of strings"));
      return List.of();
    }
    if (array.size() == 0 || array.size() > maxSize) {
      fault(key, ContractMessages.wrongType("a list of 1 to " + maxSize + " strings"));
    }
    List<String> strings = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      strings.add(array.getString(i));
    }
    return strings;
  }

  /** Records a fault of one element of a list. */
  void elementFault(String key, int index, String message) {
    TomlArray array = table.getArrayOrEmpty(List.of(key));
    faults.addElement(array.inputPositionOf(index), path(key), message);
  }

  void fault(String key, String message) {
    faults.add(position(key), path(key), message);
  }

  static boolean isName(String text) {
    return NAME.matcher(text).matches();
  }

  private @Nullable String string(String key) {
    Object value = required(key);
    if (value == null || value instanceof String) {
      return (String) value;
    }
    fault(key, ContractMessages.wrongType("a string"));
    return null;
  }

  private @Nullable Object required(String key) {
    Object value = table.get(List.of(key));
    if (value == null) {
      fault(key, ContractMessages.MISSING);
    }
    return value;
  }

  private static boolean holdsStrings(TomlArray array) {
    return array.toList().stream().allMatch(String.class::isInstance);
  }

  private <T> @Nullable T valueOrFault(String key, Validation<String, T> value) {
    if (value.isInvalid()) {
      fault(key, value.getError());
      return null;
    }
    return value.get();
  }

  private String path(String key) {
    return prefix + key;
  }

  private TomlPosition position(String key) {
    TomlPosition found = table.inputPositionOf(List.of(key));
    return found == null ? tablePosition : found;
  }
}
