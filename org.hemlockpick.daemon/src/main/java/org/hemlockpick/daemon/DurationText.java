package org.hemlockpick.daemon;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Reads and writes durations with a unit, such as {@code 500 ms}. */
final class DurationText {
  private static final Pattern FORM = Pattern.compile("(?<amount>\\d{1,9}) ?(?<unit>ms|s|min|h)");

  private DurationText() {}

  /** Returns the duration, or null when the text has another form. */
  static @Nullable Duration parse(String text) {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      return null;
    }
    long amount = Long.parseLong(matcher.group("amount"));
    return switch (matcher.group("unit")) {
      case "ms" -> Duration.ofMillis(amount);
      case "s" -> Duration.ofSeconds(amount);
      case "min" -> Duration.ofMinutes(amount);
      default -> Duration.ofHours(amount);
    };
  }

  /** Returns the duration in milliseconds with its unit. */
  static String format(Duration duration) {
    return duration.toMillis() + " ms";
  }
}
