package org.hemlockpick.util;

import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Parses TOML of any form, also such that would exhaust the stack of the parser. */
public final class DepthLimitedToml {
  /** Most brackets that may be open at once; no settings or contracts need more than a few. */
  public static final int MAX_DEPTH = 64;

  /** What is parsed in place of a text that is too deep: its one fault tells the reason. */
  private static final String TOO_DEEP = "brackets-open-at-once-beyond-" + MAX_DEPTH + " =";

  private DepthLimitedToml() {}

  /**
   * Parses a text.
   *
   * @param text text in TOML
   * @return the result; one with a syntax error at the line in question if more than {@link
   *     #MAX_DEPTH} brackets are open at once
   */
  public static TomlParseResult parse(String text) {
    int line = firstTooDeepLine(text);
    return Toml.parse(line == 0 ? text : "\n".repeat(line - 1) + TOO_DEEP);
  }

  /** Returns the number of the first line at which too many brackets are open; 0 if none is. */
  private static int firstTooDeepLine(String text) {
    int depth = 0;
    int line = 1;
    for (int i = 0; i < text.length(); i++) {
      switch (text.charAt(i)) {
        case '\n' -> line++;
        case '[', '{' -> depth++;
        case ']', '}' -> depth = Math.max(0, depth - 1);
        default -> {}
      }
      if (depth > MAX_DEPTH) {
        return line;
      }
    }
    return 0;
  }
}
