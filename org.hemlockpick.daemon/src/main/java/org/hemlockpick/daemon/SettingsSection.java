package org.hemlockpick.daemon;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.hemlockpick.util.Units;
import org.jspecify.annotations.Nullable;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads typed values from one TOML table and reports its faults.
 *
 * <p>A method returns its default value after it has reported a fault, or null if it has none.
 */
final class SettingsSection {
  private static final int MAX_PORT = 65_535;
  private static final Pattern ADDRESS =
      Pattern.compile("(?<host>[^:\\s]+|\\[[^]]+]):(?<port>\\d+)");
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final Pattern AMOUNT = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");
  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

  private final FaultCollector faults;
  private final String prefix;
  private final @Nullable TomlTable table;

  /** As many digits as a number of type {@code long} holds for certain. */
  private static final String DIGITS = "[0-9]{1,18}";

  private final int line;
  private final Set<String> known = new HashSet<>();
  private boolean hasNoFaults = true;

  SettingsSection(FaultCollector faults, String prefix, @Nullable TomlTable table, int line) {
    this.faults = faults;
    this.prefix = prefix;
    this.table = table;
    this.line = line;
  }

  /** Returns the line of a key, or that of the section when the key is missing. */
  int lineOf(String key) {
    TomlPosition position = table == null ? null : table.inputPositionOf(List.of(key));
    return position == null ? line : position.line();
  }

  /** Returns whether no fault was reported. */
  boolean hasNoFaults() {
    return hasNoFaults;
  }

  /** Reports a fault of a key. */
  void reportFault(String key, String message) {
    hasNoFaults = false;
    faults.add(lineOf(key), prefix + "." + key, message);
  }

  @Nullable String name(String key) {
    String name = required(key, text(key));
    if (name == null || NAME.matcher(name).matches()) {
      return name;
    }
    reportFault(key, Messages.BAD_NAME);
    return null;
  }

  @Nullable InetSocketAddress address(String key) {
    String text = required(key, text(key));
    return text == null
        ? null
        : parseOrReport(key, text, SettingsSection::parseAddress, Messages.BAD_ADDRESS);
  }

  @Nullable URI httpUrl(String key) {
    String text = required(key, text(key));
    return text == null
        ? null
        : parseOrReport(key, text, SettingsSection::parseHttpUrl, Messages.BAD_URL);
  }

  @Nullable Path path(String key) {
    String text = text(key);
    return text == null
        ? null
        : parseOrReport(key, text, SettingsSection::parsePath, Messages.BAD_PATH);
  }

  Duration duration(String key, Duration defaultValue, Duration min, Duration max) {
    String text = text(key);
    if (text == null) {
      return defaultValue;
    }
    return Units.duration(text)
        .fold(
            message -> reportAndReturn(key, message, defaultValue),
            value -> inRange(key, value, defaultValue, min, max));
  }

  private Duration inRange(
      String key, Duration value, Duration defaultValue, Duration min, Duration max) {
    if (value.compareTo(min) >= 0 && value.compareTo(max) <= 0) {
      return value;
    }
    return reportAndReturn(key, Messages.outOfRange(inMillis(min), inMillis(max)), defaultValue);
  }

  private Duration reportAndReturn(String key, String message, Duration defaultValue) {
    reportFault(key, message);
    return defaultValue;
  }

  private static String inMillis(Duration duration) {
    return duration.toMillis() + " ms";
  }

  double fraction(String key, double defaultValue, double limit) {
    Object value = value(key);
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Number number)) {
      reportFault(key, Messages.NOT_A_NUMBER);
      return defaultValue;
    }
    double fraction = number.doubleValue();
    if (fraction >= 0 && fraction < limit) {
      return fraction;
    }
    reportFault(key, Messages.fractionOutOfRange(limit));
    return defaultValue;
  }

  /** Returns a whole number; the default if it is missing. */
  long count(String key, long defaultValue, long min, long max) {
    Object value = value(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Long count && count >= min && count <= max) {
      return count;
    }
    reportFault(key, Messages.notWholeNumberFrom(min));
    return defaultValue;
  }

  /**
   * Returns a whole number from a string; the default if the string is missing or empty.
   *
   * @param max largest value, which stands for larger ones
   */
  int wholeNumber(String key, int defaultValue, int min, int max) {
    String text = text(key);
    if (text == null || text.isEmpty()) {
      return defaultValue;
    }
    if (text.matches(DIGITS)) {
      long number = Long.parseLong(text);
      if (number >= min) {
        return (int) Math.min(number, max);
      }
    }
    reportFault(key, Messages.notWholeNumberFrom(min));
    return defaultValue;
  }

  /**
   * Returns a number from a string, above 0 and at most {@code max}; the default if the string is
   * missing or empty.
   */
  double amount(String key, double defaultValue, double max) {
    String text = text(key);
    if (text == null || text.isEmpty()) {
      return defaultValue;
    }
    if (!AMOUNT.matcher(text).matches()) {
      reportFault(key, Messages.NOT_A_NUMBER);
      return defaultValue;
    }
    double amount = Double.parseDouble(text);
    if (amount > 0 && amount <= max) {
      return amount;
    }
    reportFault(key, Messages.amountOutOfRange(max));
    return defaultValue;
  }

  <T extends Enum<T>> T choice(String key, Class<T> type, T defaultValue) {
    String text = text(key);
    if (text == null) {
      return defaultValue;
    }
    for (T choice : Objects.requireNonNull(type.getEnumConstants())) {
      if (choice.name().toLowerCase(java.util.Locale.ROOT).equals(text)) {
        return choice;
      }
    }
    reportFault(key, Messages.notOneOf(type));
    return defaultValue;
  }

  List<String> digests(String key) {
    Object value = value(key);
    if (value == null) {
      return List.of();
    }
    if (!(value instanceof TomlArray array)) {
      reportFault(key, Messages.NOT_A_LIST);
      return List.of();
    }
    if (array.toList().stream().allMatch(SettingsSection::isDigest)) {
      return array.toList().stream().map(String.class::cast).toList();
    }
    reportFault(key, Messages.BAD_DIGEST);
    return List.of();
  }

  /** Reports every key that has not been read. */
  void reportUnknownKeys() {
    if (table == null) {
      return;
    }
    table.keySet().stream()
        .filter(key -> !known.contains(key))
        .forEach(key -> reportFault(key, Messages.UNKNOWN_KEY));
  }

  private @Nullable Object value(String key) {
    known.add(key);
    return table == null ? null : table.get(List.of(key));
  }

  private @Nullable String text(String key) {
    Object value = value(key);
    if (value == null || value instanceof String) {
      return (String) value;
    }
    reportFault(key, Messages.NOT_A_STRING);
    return null;
  }

  private @Nullable String required(String key, @Nullable String text) {
    boolean isMissing = table == null || !table.contains(List.of(key));
    if (isMissing) {
      reportFault(key, Messages.MISSING);
    }
    return text;
  }

  private <T> @Nullable T parseOrReport(
      String key, String text, Function<String, @Nullable T> parser, String message) {
    T value = parser.apply(text);
    if (value == null) {
      reportFault(key, message);
    }
    return value;
  }

  private static boolean isDigest(Object item) {
    return item instanceof String text && DIGEST.matcher(text).matches();
  }

  private static @Nullable InetSocketAddress parseAddress(String text) {
    var matcher = ADDRESS.matcher(text);
    if (!matcher.matches() || matcher.group("port").length() > 5) {
      return null;
    }
    int port = Integer.parseInt(matcher.group("port"));
    if (port > MAX_PORT) {
      return null;
    }
    InetSocketAddress address = new InetSocketAddress(matcher.group("host"), port);
    return address.isUnresolved() ? null : address;
  }

  private static @Nullable URI parseHttpUrl(String text) {
    try {
      URI url = new URI(text);
      boolean isBare = url.getQuery() == null && url.getFragment() == null;
      boolean isWhole = url.getHost() != null && url.getPort() > 0 && isBare;
      return "http".equals(url.getScheme()) && isWhole ? url : null;
    } catch (URISyntaxException e) {
      return null;
    }
  }

  private static @Nullable Path parsePath(String text) {
    try {
      return Path.of(text);
    } catch (InvalidPathException e) {
      return null;
    }
  }
}
