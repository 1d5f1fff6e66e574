package org.hemlockpick.util;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.tomlj.TomlParseResult;

/** Checks that TOML texts that nest too deeply are rejected with one short error. */
class DepthLimitedTomlTest {
  @Test
  void refusesAnArrayInThousandsOfArrays() {
    String deep = "a = 1\nb = " + "[".repeat(5_000) + "]".repeat(5_000);
    TomlParseResult result = DepthLimitedToml.parse(deep);
    assertTrue(result.hasErrors());
    assertEquals(2, result.errors().get(0).position().line());
    assertTrue(result.errors().get(0).toString().length() < 500);
  }

  @Test
  void acceptsAnArrayThatIsLongButFlat() {
    TomlParseResult result = DepthLimitedToml.parse("a = [" + "[1], ".repeat(1_000) + "[2]]");
    assertFalse(result.hasErrors());
    assertEquals(1_001, result.getArrayOrEmpty("a").size());
  }
}
