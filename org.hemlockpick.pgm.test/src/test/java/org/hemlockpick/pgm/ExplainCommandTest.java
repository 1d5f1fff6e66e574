package org.hemlockpick.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {
  private final RecordedConsole console = new RecordedConsole();

  @TempDir private Path folder = Path.of("");

  private Path log(String name, String... lines) throws IOException {
    return Files.write(folder.resolve(name), List.of(lines));
  }

  private static String line(String time, String instance, String kind, String subject) {
    return """
        {"timestamp":"%s","instance":"%s","kind":"%s","subject":"%s","outcome":"FAILED",\
        "reason":"it failed 3 times"}"""
        .formatted(time, instance, kind, subject);
  }

  @Test
  void collectsTheLinesOfOneJobFromAllLogs() throws IOException {
    Path first =
        log(
            "1.log",
            line("T03", "entry-1", "job", "abc"),
            line("T02", "entry-1", "end", "abc.0.1.7"),
            line("T02", "entry-1", "end", "abcd.0.1.7"));
    Path second = log("2.log", "noise", line("T01", "entry-2", "submit", "abc"));

    assertEquals(0, console.run("explain", "abc", first.toString(), second.toString()));

    List<String> lines = console.out().lines().toList();
    assertEquals(4, lines.size());
    assertTrue(lines.get(0).contains("submit"));
    assertTrue(lines.get(1).contains("abc.0.1.7"));
    assertEquals("abc ended as FAILED, as decided by entry-1: it failed 3 times", lines.get(3));
  }

  @Test
  void sortsByTimeAndNotByItsText() throws IOException {
    Path log =
        log(
            "1.log",
            line("2026-03-08T08:52:51.23783115Z", "entry-1", "job", "abc"),
            line("2026-03-08T08:52:51.237770603Z", "entry-1", "start", "abc.0.0.1"));

    assertEquals(0, console.run("explain", "abc", log.toString()));

    assertTrue(console.out().lines().toList().get(0).contains("abc.0.0.1"), console.out());
  }

  @Test
  void reportsAJobWithoutLines() throws IOException {
    Path log = log("1.log", line("T01", "entry-1", "job", "abc"));

    assertEquals(1, console.run("explain", "xyz", log.toString()));

    assertTrue(console.err().contains("xyz"), console.err());
  }

  private static String line(String time, String incarnation, long token, String reason) {
    return """
        {"timestamp":"%s","instance":"entry-1","incarnation":"%s","token":%d,"kind":"start",\
        "subject":"abc.0.0.0","outcome":"w1","reason":"%s"}"""
        .formatted(time, incarnation, token, reason);
  }

  /** In an incident, two processes of one instance overlapped and no line told them apart. */
  @Test
  void showsProcessAndTokenOfEachLineOfOneFile() throws IOException {
    Path log =
        log(
            "1.log",
            line("2026-12-04T05:05:40.683Z", "9zz1", 1_204, "attempt 2001"),
            line("2026-12-04T05:05:33.888Z", "3k5x", 995, "attempt 1"),
            line("2026-12-04T05:05:39.000Z", "9zz1", 0, "attempt 0"));

    assertEquals(0, console.run("explain", "abc", log.toString()));

    List<String> lines = console.out().lines().toList();
    assertTrue(lines.get(0).matches(".* entry-1/3k5x +token 995 .*attempt 1\\)"), lines.get(0));
    assertTrue(lines.get(1).matches(".* entry-1/9zz1 +start .*attempt 0\\)"), lines.get(1));
    assertTrue(lines.get(2).matches(".* entry-1/9zz1 +token 1204 .*attempt 2001\\)"), lines.get(2));
  }

  /** In the log of an incident, a line was cut in the middle and another one followed directly. */
  @Test
  void findsTheLineAfterATruncatedOne() throws IOException {
    String whole = line("2026-12-04T05:07:28.916Z", "3k5x", 995, "attempt 1");
    Path log = log("1.log", whole.substring(0, 60) + whole);

    assertEquals(0, console.run("explain", "abc", log.toString()));

    assertTrue(console.out().contains("entry-1/3k5x"), console.out());
  }
}
