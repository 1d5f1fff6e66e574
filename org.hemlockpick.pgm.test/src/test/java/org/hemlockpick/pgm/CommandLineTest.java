package org.hemlockpick.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CommandLineTest {
  private final RecordedConsole console = new RecordedConsole();

  @ParameterizedTest
  @ValueSource(
      strings = {
        "serve",
        "check",
        "diff",
        "apply",
        "status",
        "drain",
        "evacuate",
        "timeline",
        "replay",
        "stand-in",
        "demo"
      })
  void showsHelpWithExamples(String command) {
    ByteArrayOutputStream shown = new ByteArrayOutputStream();
    PrintStream before = System.out;
    System.setOut(RecordedConsole.stream(shown));
    try {
      assertEquals(0, console.run(command, "--help"));
    } finally {
      System.setOut(before);
    }

    String help = shown.toString(StandardCharsets.UTF_8);
    assertTrue(help.contains("hemlockpick " + command), help);
    assertTrue(help.contains("examples:"), help);
    assertTrue(help.contains("Exit status"), help);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "no-such-command",
        "serve",
        "serve --settings",
        "serve --settings a.toml surplus",
        "check",
        "diff contracts",
        "apply --url http://127.0.0.1:1 --key-file k contracts",
        "apply --url ftp://127.0.0.1 --key-file k --operator kei contracts",
        "apply --url http://127.0.0.1:1 --key-file k --operator kei --base x contracts",
        "status",
        "status --url http://127.0.0.1:1 --key-file k --jsn",
        "drain --url http://127.0.0.1:1",
        "evacuate --url http://127.0.0.1:1 --key-file k --operator kei",
        "evacuate --url http://127.0.0.1:1 --key-file k zone-a",
        "timeline",
        "replay",
        "stand-in --only database",
        "stand-in --port 70000",
        "stand-in --workers many",
        "stand-in --only worker",
        "demo fast",
      })
  void refusesWrongUsageWithOneLine(String line) {
    String[] args = line.isEmpty() ? new String[0] : line.split(" ", -1);

    assertEquals(2, console.run(args));

    assertEquals(1, console.err().lines().count(), console.err());
    assertTrue(console.err().startsWith("hemlockpick: "), console.err());
    assertTrue(console.err().strip().endsWith("--help"), console.err());
    assertEquals("", console.out());
  }

  @Test
  void namesTheHelpOfTheProgramForAnUnknownCommand() {
    assertEquals(2, console.run("no-such-command"));

    assertTrue(console.err().strip().endsWith("; see hemlockpick --help"), console.err());
  }

  @Test
  void refusesSettingsWithFaults(@TempDir Path folder) throws Exception {
    Path file = Files.writeString(folder.resolve("a.toml"), "[instance]\nname = 1\n");

    assertEquals(2, console.run("serve", "--settings", file.toString()));

    assertTrue(console.err().contains(file + ":2: instance.name: "), console.err());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "timeline no-such-file",
        "replay no-such-file",
        "apply --url http://127.0.0.1:1 --key-file k --operator kei no-such-folder",
        "status --url http://127.0.0.1:1 --key-file no-such-file",
      })
  void failsWithOneLineWhenAFileIsMissing(String line) {
    assertEquals(1, console.run(line.split(" ", -1)));

    assertEquals(1, console.err().lines().count(), console.err());
  }

  @Test
  void failsWithOneLineWhenTheAddressIsUnreachable(@TempDir Path folder) throws Exception {
    Path key = Files.writeString(folder.resolve("operator.key"), "key\n");

    int status = console.run("status", "--url", "http://127.0.0.1:1", "--key-file", key.toString());

    assertEquals(1, status);
    assertEquals(1, console.err().lines().count(), console.err());
  }
}
