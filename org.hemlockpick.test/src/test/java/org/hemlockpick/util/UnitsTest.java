package org.hemlockpick.util;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UnitsTest {
  @Test
  void readsEachUnit() {
    assertEquals(Duration.ofMillis(200), Units.duration("200 ms").get());
    assertEquals(Duration.ofSeconds(2), Units.duration("2s").get());
    assertEquals(Duration.ofMinutes(3), Units.duration("3 min").get());
    assertEquals(Duration.ofHours(7), Units.duration("7 h").get());
    assertEquals(7L, Units.bytes("7 B").get());
    assertEquals(65_536L, Units.bytes("64 KiB").get());
    assertEquals(999_999_999L * 1024 * 1024, Units.bytes("999999999MiB").get());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "5", "ms", "-1 s", "1  s", " 1 s", "1.5 s", "1 S", "1 d", "9999999999 s"})
  void refusesAnythingElse(String text) {
    assertTrue(Units.duration(text).isInvalid());
    assertTrue(Units.bytes(text).isInvalid());
  }
}
