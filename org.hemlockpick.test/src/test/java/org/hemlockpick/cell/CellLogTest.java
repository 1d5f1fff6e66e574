package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Tests what the log reports of a cell whose holder changes, is paused or loses its workers. */
class CellLogTest {
  private static final long SETTLE_MILLIS = 3_000;

  private final CellWorld world = new CellWorld(20261204, 3, 4);

  /** Guards against an incident whose log did not show under which token an order was given. */
  @Test
  void everyOrderCarriesTheTokenOfItsHolder() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(4));
    world.time.runFor(2_000);
    String token = onlyMatch(" cell c0 held \\(token (\\d+), generation 0\\) under \\1$");
    assertEquals(
        4, lines(" start a\\..* \\(attempt .*, order 1, lease until .*\\) under \\d+$").size());
    assertTrue(lines(" start a").stream().allMatch(line -> line.endsWith(" under " + token)));
  }

  /** Guards against an incident whose log did not show whether a process had been paused. */
  @Test
  void gapBetweenTwoTicksIsLogged() {
    world.time.runFor(SETTLE_MILLIS);
    assertEquals(List.of(), lines(" clock "));
    world.holder().pause(900);
    world.time.runFor(1_500);
    int gap =
        Integer.parseInt(
            onlyMatch(" clock n\\d gap \\((\\d+) ms .*, last renewal asked for \\d+ ms ago\\)"));
    assertTrue(gap >= 900 && gap <= 920, () -> "gap of " + gap + " ms");
  }

  /**
   * Guards against an incident whose log did not show why a successor considered the lease free.
   */
  @Test
  void takeoverLogsWhyTheLeaseWasFreeAndWhoAnswered() {
    world.workers.runMillis = 6_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(4));
    world.time.runFor(1_000);
    String previous = world.holder().name;
    int before = world.log.size();
    world.holder().kill();
    world.time.runFor(4_000);
    world.log.subList(0, before).clear();
    onlyMatch(
        " lease c0 claimed \\(version \\d+, held by ("
            + previous
            + ")@n\\d:1/i\\d+, .* ms ago, not renewed\\)$");
    onlyMatch(" cell c0 unaccounted \\((4) workers, 4 not silent, 0 tasks at silent ones\\)");
    assertEquals(4, lines(" worker w\\d first answer \\(clock \\d+, born \\d+, \\d+ runs").size());
    onlyMatch(" worker w\\d accounted for \\(answered, (0) left\\)");
  }

  @Test
  void releaseIsLogged() {
    world.time.runFor(SETTLE_MILLIS);
    world.holder().process().beginStop();
    world.time.runFor(1_500);
    onlyMatch(" lease c0 (release sent) \\(");
    onlyMatch(" lease c0 (release COMMITTED) \\(");
    // Both others claim the lease; one of the claims is refused.
    assertEquals(2, lines(" lease c0 claimed \\(.*, held by .*, released\\)$").size());
    onlyMatch(" lease c0 (claim CONFLICT) \\(.*, held by n\\d@n\\d:1/i\\d at version 15\\)$");
  }

  @Test
  void completionIsLoggedWithItsNumberAndAcknowledgment() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(1));
    world.time.runFor(3_000);
    String worker =
        onlyMatch(" end a.0.0.0 DONE \\(attempt \\d+ at (w\\d), number 1, born \\d+, new\\)");
    onlyMatch(" worker " + worker + " (ends confirmed) \\(up to 1 to the boot born \\d+\\)");
  }

  private List<String> lines(String pattern) {
    Pattern wanted = Pattern.compile(pattern);
    return world.log.stream().filter(line -> wanted.matcher(line).find()).toList();
  }

  /** Returns the first group of the only line that matches a pattern. */
  private String onlyMatch(String pattern) {
    List<String> found = lines(pattern);
    assertEquals(1, found.size(), () -> pattern + " in\n" + String.join("\n", world.log));
    return Pattern.compile(pattern)
        .matcher(found.get(0))
        .results()
        .findFirst()
        .orElseThrow()
        .group(1);
  }
}
