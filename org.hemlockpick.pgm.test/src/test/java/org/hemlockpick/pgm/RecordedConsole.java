package org.hemlockpick.pgm;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Runs commands and records their output. */
final class RecordedConsole {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  int run(String... args) {
    return new CommandLine(new Console(stream(out), stream(err))).run(args);
  }

  String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  static PrintStream stream(ByteArrayOutputStream sink) {
    return new PrintStream(sink, true, StandardCharsets.UTF_8);
  }
}
