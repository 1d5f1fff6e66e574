package org.hemlockpick.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DemoCommandTest {

  @Test
  void completesSuccessfully() {
    RecordedConsole console = new RecordedConsole();

    assertEquals(0, console.run("demo"), () -> console.out() + console.err());
  }
}
