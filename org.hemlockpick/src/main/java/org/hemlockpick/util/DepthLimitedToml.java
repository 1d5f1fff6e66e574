package org.hemlockpick.util;

import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * Parses TOML with a limit on nesting, since deeply nested text would exhaust the parser's stack.
 */
public final class DepthLimitedToml {
  /** Maximum number of brackets open at once; no settings or contracts need more than a few. */
  public static final int MAX_DEPTH = 64;

  /**
   * Text parsed in place of one that is nested too deeply; its only syntax error names the reason.
   */
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

  /** Returns the number of the first line with too many open brackets; 0 if there is none. */
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
