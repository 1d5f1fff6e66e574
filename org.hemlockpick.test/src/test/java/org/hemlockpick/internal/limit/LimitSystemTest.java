package org.hemlockpick.internal.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.proto.PeerMessage;
import org.junit.jupiter.api.Test;

class LimitSystemTest {
  private static final long TICK_MILLIS = 50;
  private static final int STEPS = 4_500;
  private static final int UNCHANGED_STEPS = 3_000;
  private static final int BUSY_STEPS = 500;
  private static final int MAX_DELIVERIES = 8;
  private static final List<RosterMember> ROSTER =
      List.of(
          new RosterMember("a", "kgn-a"),
          new RosterMember("b", "kgn-a"),
          new RosterMember("c", "kgn-b"),
          new RosterMember("d", "kgn-b"));

  private final List<LimitNode> nodes = new ArrayList<>();
  private List<PeerMessage> inFlight = new ArrayList<>();
  private Predicate<PeerMessage> delivered = message -> true;
  private long now;

  @Test
  void sharesAddUpToTheLimitAlsoWithARemainder() {
    for (int limit = 1; limit <= 9; limit++) {
      List<LimitNode> fresh = nodes(ROSTER.size(), limit);
      assertEquals(limit, fresh.stream().mapToInt(LimitNode::acquireAll).sum());
    }
  }

  @Test
  void lendsTheWholeLimitToTheOnlyBusyInstance() {
    start(300);
    runWithDemandAt(nodes.get(0), 60_000);
    assertEquals(300, nodes.get(0).inUse);
  }

  @Test
  void borrowsASingleUnitThatAnotherInstanceHolds() {
    start(1);
    runWithDemandAt(nodes.get(0), 20_000);
    assertEquals(1, nodes.get(0).inUse);
  }

  @Test
  void returnsUnitsOnceTheyAreDueAndFree() {
    start(40);
    LimitNode a = nodes.get(0);
    LimitNode b = nodes.get(1);
    runWithDemandAt(a, 60_000);
    assertEquals(40, a.inUse);
    assertEquals(0, b.acquireAll());
    while (a.inUse > 0) {
      a.release();
    }
    run(20_000);
    assertEquals(10, b.acquireAll());
    assertEquals(10, a.acquireAll());
  }

  @Test
  void recoversALoanWhoseMessagesWereLost() {
    start(40);
    delivered = message -> !message.hasLoan() && !message.hasLoanReturn();
    runWithDemandAt(nodes.get(0), 10_000);
    assertEquals(10, nodes.get(0).inUse);
    delivered = message -> true;
    run(30_000);
    assertEquals(40, nodes.stream().mapToInt(LimitNode::acquireAll).sum() + 10);
  }

  @Test
  void staysWithinALoweredLimitOnceTheUnitsInUseAreReleased() {
    start(40);
    LimitNode a = nodes.get(0);
    runWithDemandAt(a, 60_000);
    nodes.forEach(node -> node.setLimit(8));
    assertFalse(a.acquire());
    while (a.inUse > 0) {
      a.release();
    }
    run(20_000);
    assertEquals(8, nodes.stream().mapToInt(LimitNode::acquireAll).sum());
  }

  @Test
  void callsInLoansAboveALoweredShareFromABusyBorrower() {
    start(40);
    LimitNode a = nodes.get(0);
    runWithDemandAt(a, 60_000);
    nodes.forEach(node -> node.setLimit(8));
    for (int i = 0; i < 400; i++) {
      if (a.inUse > 0) {
        a.release();
      }
      runWithDemandAt(a, TICK_MILLIS);
    }
    assertEquals(8, a.inUse + nodes.stream().mapToInt(LimitNode::acquireAll).sum());
  }

  @Test
  void reclaimsWhatItLentOnceTheBorrowerIsReplaced() {
    start(40);
    runWithDemandAt(nodes.get(0), 60_000);
    LimitNode successor = new LimitNode(ROSTER.get(0), ROSTER, 2, now);
    successor.setLimit(40);
    nodes.set(0, successor);
    run(10_000);
    assertEquals(40, nodes.stream().mapToInt(LimitNode::acquireAll).sum());
  }

  @Test
  void dropsWhatItBorrowedOnceTheLenderIsReplaced() {
    start(40);
    LimitNode a = nodes.get(0);
    runWithDemandAt(a, 60_000);
    for (int index = 1; index < ROSTER.size(); index++) {
      LimitNode successor = new LimitNode(ROSTER.get(index), ROSTER, 2, now);
      successor.setLimit(40);
      nodes.set(index, successor);
    }
    run(10_000);
    assertFalse(a.acquire());
    while (a.inUse > 0) {
      a.release();
    }
    assertEquals(40, nodes.stream().mapToInt(LimitNode::acquireAll).sum());
  }

  @Test
  void acceptsTheShareOfTheRateWithABurstOfOneSecond() {
    LimitNode node = nodes(1, 40).get(0);
    assertEquals(10, node.acquireRate(0));
    assertEquals(5, node.acquireRate(500));
    assertEquals(10, node.acquireRate(60_000));
    assertEquals(0, node.acquireRate(60_000));
  }

  @Test
  void acceptsARateBelowOneASecondForEachInstance() {
    LimitNode node = nodes(1, 1).get(0);
    assertEquals(1, node.acquireRate(0));
    assertEquals(0, node.acquireRate(3_900));
    assertEquals(1, node.acquireRate(4_100));
  }

  @Property(tries = 200, seed = "20261204")
  void neverExceedsTheLimitHoweverMessagesAndClocksBehave(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int limit) {
    Random random = new Random(seed);
    List<LimitNode> all = nodes(ROSTER.size(), limit);
    List<LimitNode> unchanged = new ArrayList<>(all);
    int lowered = random.nextInt(limit) + 1;
    List<PeerMessage> sent = new ArrayList<>();
    int lent = 0;
    for (int step = 0; step < STEPS; step++) {
      if (step >= UNCHANGED_STEPS && random.nextInt(100) == 0 && !unchanged.isEmpty()) {
        unchanged.remove(random.nextInt(unchanged.size())).setLimit(lowered);
      }
      step(random, step, sent, all);
      lent += all.stream().anyMatch(each -> each.inUse > (limit + 3) / 4) ? 1 : 0;
      assertTrue(all.stream().mapToInt(each -> each.inUse).sum() <= limit, "at step " + step);
    }
    assertTrue(limit < 8 || lent > 0, "no unit was ever lent");
  }

  @Property(tries = 200, seed = "20261205")
  void exceedsTheLimitByNoMoreThanAReplacedInstanceUsedAndLent(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int limit) {
    Random random = new Random(seed);
    List<LimitNode> all = nodes(ROSTER.size(), limit);
    List<PeerMessage> sent = new ArrayList<>();
    int replaced = random.nextInt(ROSTER.size());
    int replacedAt = random.nextInt(UNCHANGED_STEPS);
    int maxShare = (limit + ROSTER.size() - 1) / ROSTER.size();
    int predecessorsUse = 0;
    int bound = limit;
    for (int step = 0; step < STEPS; step++) {
      if (step == replacedAt) {
        predecessorsUse = all.get(replaced).inUse;
        bound = limit + predecessorsUse + maxShare;
        LimitNode successor = new LimitNode(ROSTER.get(replaced), ROSTER, 2, all.get(replaced).now);
        successor.setLimit(limit);
        all.set(replaced, successor);
      }
      step(random, step, sent, all);
      int inUse = predecessorsUse + all.stream().mapToInt(each -> each.inUse).sum();
      assertTrue(inUse <= bound, "at step " + step);
    }
  }

  private static void step(Random random, int step, List<PeerMessage> sent, List<LimitNode> all) {
    LimitNode busy = all.get(step / BUSY_STEPS % all.size());
    int turn = random.nextInt(all.size());
    LimitNode node = all.get(turn);
    switch (random.nextInt(4)) {
      case 0 -> sent.addAll(node.tick(node.now + random.nextInt(100 << turn)));
      case 1 -> (random.nextInt(4) > 0 ? busy : node).acquire();
      case 2 -> {
        if (node.inUse > 0 && (node != busy || random.nextInt(4) == 0)) {
          node.release();
        }
      }
      default -> {
        for (int i = random.nextInt(MAX_DELIVERIES); i > 0; i--) {
          deliver(random, sent, all);
        }
      }
    }
  }

  /** Delivers a random message in flight; it may be lost, or delivered again later. */
  private static void deliver(Random random, List<PeerMessage> sent, List<LimitNode> all) {
    if (sent.isEmpty()) {
      return;
    }
    int chosen = random.nextInt(sent.size());
    PeerMessage message = random.nextInt(3) > 0 ? sent.remove(chosen) : sent.get(chosen);
    int receiver = ROSTER.stream().map(RosterMember::name).toList().indexOf(message.getTo());
    if (random.nextInt(10) > 0) {
      all.get(receiver).receive(message);
    }
  }

  private static List<LimitNode> nodes(int count, int limit) {
    List<LimitNode> nodes = new ArrayList<>();
    for (RosterMember member : ROSTER.subList(0, count)) {
      LimitNode node = new LimitNode(member, ROSTER, 1, 0);
      node.setLimit(limit);
      nodes.add(node);
    }
    return nodes;
  }

  private void start(int limit) {
    nodes.addAll(nodes(ROSTER.size(), limit));
    run(2_000);
  }

  private void runWithDemandAt(LimitNode node, long millis) {
    for (long end = now + millis; now < end; ) {
      node.acquireAll();
      run(TICK_MILLIS);
    }
  }

  private void run(long millis) {
    for (long end = now + millis; now < end; now += TICK_MILLIS) {
      List<PeerMessage> arrived = inFlight.stream().filter(delivered).toList();
      inFlight = new ArrayList<>();
      for (LimitNode node : nodes) {
        arrived.forEach(node::receive);
        inFlight.addAll(node.tick(now));
      }
    }
  }
}
