package org.hemlockpick.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TimelineCommandTest {
  private final RecordedConsole console = new RecordedConsole();

  @Test
  void mergesLogsInCausalOrder(@TempDir Path folder) throws IOException {
    Path first =
        Files.writeString(
            folder.resolve("1.log"),
            line("entry-a-1", 9, "request-done") + line("entry-a-1", 2, "request-taken"));
    Path second = Files.writeString(folder.resolve("2.log"), line("entry-a-2", 5, "forwarded"));

    assertEquals(0, console.run("timeline", first.toString(), second.toString()));

    List<String> lines = console.out().lines().toList();
    assertEquals(3, lines.size());
    assertTrue(lines.get(0).contains("request-taken"));
    assertTrue(lines.get(1).contains("forwarded"));
    assertTrue(lines.get(2).contains("request-done"));
  }

  @Test
  void skipsOtherLinesAndATruncatedLastLine(@TempDir Path folder) throws IOException {
    String whole = line("entry-a-1", 1, "lease-taken");
    String text = "{\"level\":\"INFO\"}\nplain text\n" + whole + whole.substring(0, 40);
    Path log = Files.writeString(folder.resolve("1.log"), text);

    assertEquals(0, console.run("timeline", "--json", log.toString()));

    assertEquals(1, console.out().lines().count());
    assertTrue(console.err().startsWith("3 lines"), console.err());
  }

  private static String line(String instance, long clock, String kind) {
    return """
        {"level":"INFO","instance":"%s","incarnation":1,"clock":%d,"atMillis":0,"kind":"%s",\
        "subject":"s","detail":""}
        """
        .formatted(instance, clock, kind);
  }
}
