package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** What the log tells of a cell whose holder changes, stands still or loses its workers. */
class CellLogTest {
  private static final long SETTLED = 3_000;

  private final CellWorld world = new CellWorld(20261204, 3, 4);

  /** The record of the incident did not tell under which token an order was given. */
  @Test
  void everyOrderCarriesTheTokenOfItsHolder() {
    world.time.runFor(SETTLED);
    world.submit(0, "a", step(4));
    world.time.runFor(2_000);
    String token = only(" cell c0 held \\(token (\\d+), generation 0\\) under \\1$");
    assertEquals(
        4, lines(" start a\\..* \\(attempt .*, order 1, lease until .*\\) under \\d+$").size());
    assertTrue(lines(" start a").stream().allMatch(line -> line.endsWith(" under " + token)));
  }

  /** The record of the incident did not tell whether a process had stood still. */
  @Test
  void gapBetweenTwoTicksIsTold() {
    world.time.runFor(SETTLED);
    assertEquals(List.of(), lines(" clock "));
    world.holder().stop(900);
    world.time.runFor(1_500);
    int gap =
        Integer.parseInt(
            only(" clock n\\d gap \\((\\d+) ms .*, last renewal asked for \\d+ ms ago\\)"));
    assertTrue(gap >= 900 && gap <= 920, () -> "gap of " + gap + " ms");
  }

  /** The record of the incident did not tell why a successor believed that it may go on. */
  @Test
  void takeOverTellsWhyTheLeaseWasFreeAndWhoAnswered() {
    world.workers.runMillis = 6_000;
    world.time.runFor(SETTLED);
    world.submit(0, "a", step(4));
    world.time.runFor(1_000);
    String former = world.holder().name;
    int before = world.log.size();
    world.holder().kill();
    world.time.runFor(4_000);
    world.log.subList(0, before).clear();
    only(
        " lease c0 claimed \\(version \\d+, held by ("
            + former
            + ")@n\\d:1/i\\d+, .* ms ago, not renewed\\)$");
    only(" cell c0 unaccounted \\((4) workers, 4 not silent, 0 tasks at silent ones\\)");
    assertEquals(4, lines(" worker w\\d first answer \\(clock \\d+, born \\d+, \\d+ runs").size());
    only(" worker w\\d accounted for \\(answered, (0) left\\)");
  }

  @Test
  void releaseIsTold() {
    world.time.runFor(SETTLED);
    world.holder().process().beginStop();
    world.time.runFor(1_500);
    only(" lease c0 (release sent) \\(");
    only(" lease c0 (release COMMITTED) \\(");
    // Both others ask for the lease; one of them is refused.
    assertEquals(2, lines(" lease c0 claimed \\(.*, held by .*, released\\)$").size());
    only(" lease c0 (claim CONFLICT) \\(.*, held by n\\d@n\\d:1/i\\d at version 15\\)$");
  }

  @Test
  void endTellsItsNumberAndItsConfirmation() {
    world.time.runFor(SETTLED);
    world.submit(0, "a", step(1));
    world.time.runFor(3_000);
    String worker =
        only(" end a.0.0.0 DONE \\(attempt \\d+ at (w\\d), number 1, born \\d+, new\\)");
    only(" worker " + worker + " (ends confirmed) \\(up to 1 to the boot born \\d+\\)");
  }

  private List<String> lines(String pattern) {
    Pattern wanted = Pattern.compile(pattern);
    return world.log.stream().filter(line -> wanted.matcher(line).find()).toList();
  }

  /** Returns the first group of the only line that a pattern finds. */
  private String only(String pattern) {
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
