package org.hemlockpick.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CheckCommandTest {
  private static final Path EXAMPLES = Path.of("..", "examples");

  private final RecordedConsole console = new RecordedConsole();

  @Test
  void findsNoFaultInTheExamples() throws IOException {
    String[] args = Stream.concat(Stream.of("check"), examples().stream()).toArray(String[]::new);

    assertEquals(0, console.run(args), console.out());
  }

  @Test
  void checksTheSettingsOfACell() {
    Path training = Path.of("..", "deploy", "training.toml");

    assertEquals(0, console.run("check", training.toString()), console.out());
  }

  @Test
  void printsOneFaultForTooDeepNesting(@TempDir Path folder) throws IOException {
    String deep = "x = " + "[".repeat(5_000) + "]".repeat(5_000);
    Path file = Files.writeString(folder.resolve("d.toml"), deep);

    assertEquals(1, console.run("check", file.toString()));
    assertEquals(1, console.out().lines().count());
  }

  @Test
  void printsEachFaultOnALine(@TempDir Path folder) throws IOException {
    Path settings = Files.writeString(folder.resolve("s.toml"), "[instance]\nzone = 1\n");
    Path contract = Files.writeString(folder.resolve("c.toml"), "customer = 1\n");
    Path neither = Files.writeString(folder.resolve("n.toml"), "x = 1\n");
    Path broken = Files.writeString(folder.resolve("b.toml"), "x = \n");

    int status =
        console.run(
            "check",
            settings.toString(),
            contract.toString(),
            neither.toString(),
            broken.toString(),
            "no-such.toml");

    assertEquals(1, status);
    List<String> faults = console.out().lines().toList();
    assertTrue(faults.contains(settings + ":2: instance.zone: must be a string"), console.out());
    for (Path file : List.of(settings, contract, neither, broken, Path.of("no-such.toml"))) {
      assertTrue(faults.stream().anyMatch(line -> line.startsWith(file + ":")), console.out());
    }
  }

  private static List<String> examples() throws IOException {
    try (Stream<Path> files = Files.walk(EXAMPLES)) {
      return files.map(Path::toString).filter(file -> file.endsWith(".toml")).sorted().toList();
    }
  }
}
