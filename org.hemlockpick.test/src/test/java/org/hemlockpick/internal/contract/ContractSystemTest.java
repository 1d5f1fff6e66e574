package org.hemlockpick.internal.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockpick.contract.Contract;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.contract.ContractNode.StoreMode;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.ConfigPush;
import org.hemlockpick.proto.ContractQuery;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.Heartbeat;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.standin.TableModel;
import org.junit.jupiter.api.Test;

class ContractSystemTest {
  private static final long TICK_MILLIS = 50;
  private static final List<RosterMember> ROSTER =
      List.of(
          new RosterMember("a", "kgn-a"),
          new RosterMember("b", "kgn-a"),
          new RosterMember("c", "kgn-a"));

  private final TableModel table = new TableModel();
  private final List<ContractNode> nodes = new ArrayList<>();
  private List<PeerMessage> inFlight = new ArrayList<>();
  private Predicate<PeerMessage> delivered = message -> true;
  private long now;

  @Test
  void recordsAChangeAndServesItEverywhere() {
    ContractNode a = start("a");
    ContractNode b = start("b");
    a.apply("blue", 0, text("blue", 7));
    run(2_000);
    assertAnswer(a, ResultCode.DONE, 1);
    assertEquals(7, weight(b, "blue"));
    b.system.on(ContractQuery.newBuilder().setExchange(2).build());
    run(TICK_MILLIS);
    assertEquals("operator-blue", b.answers.get(0).getContracts(0).getOperator());
    assertEquals(text("blue", 7), b.answers.get(0).getContracts(0).getText());
  }

  @Test
  void acceptsOneOfTwoRacingChangesOfACustomer() {
    ContractNode a = start("a");
    ContractNode b = start("b");
    run(500);
    a.apply("blue", 0, text("blue", 1));
    b.apply("blue", 0, text("blue", 2));
    run(2_000);
    assertAnswer(a, ResultCode.DONE, 1);
    assertAnswer(b, ResultCode.CONTRACT_CONFLICT, 0);
    assertEquals("blue is at revision 1, changed by operator-blue", b.answers.get(0).getDetail());
    assertEquals(1, weight(b, "blue"));
  }

  @Test
  void acceptsRacingChangesOfTwoCustomers() {
    ContractNode a = start("a");
    ContractNode b = start("b");
    run(500);
    a.apply("blue", 0, text("blue", 1));
    b.apply("green", 0, text("green", 2));
    run(2_000);
    assertAnswer(a, ResultCode.DONE, 1);
    assertAnswer(b, ResultCode.DONE, 2);
    assertEquals(2, weight(a, "green"));
  }

  @Test
  void refusesAChangeBasedOnAnOldRevisionAndWithdrawsOnTheNewest() {
    ContractNode a = start("a");
    a.apply("blue", 0, text("blue", 1));
    a.apply("blue", 0, text("blue", 2));
    a.apply("blue", 1, "");
    a.apply("blue", 2, "");
    run(2_000);
    List<Integer> codes = a.answers.stream().map(CallerAnswer::getCode).toList();
    assertEquals(
        List.of(
            ResultCode.DONE.number(),
            ResultCode.CONTRACT_CONFLICT.number(),
            ResultCode.DONE.number(),
            ResultCode.CONTRACT_INVALID.number()),
        codes);
    assertNull(a.contracts.find("blue"));
  }

  @Test
  void refusesAFaultyTextWithAllFaultsAndWritesNothing() {
    ContractNode a = start("a");
    a.apply("blue", 0, text("green", 0));
    run(500);
    assertAnswer(a, ResultCode.CONTRACT_INVALID, 0);
    assertEquals(
        List.of(
            "blue.toml:1: customer: must be \"blue\", the customer whose contract is changed",
            "blue.toml:2: weight: must be between 1 and 100"),
        a.answers.get(0).getDetail().lines().toList());
    assertEquals(0, table.transactions());
  }

  @Test
  void recognisesItsOwnChangeWhenTheAnswerWasLostAfterTheCommit() {
    ContractNode a = start("a");
    run(500);
    a.apply("blue", 0, text("blue", 1));
    runUntilTransactionAnswerIsLost(a);
    a.storeMode = StoreMode.ANSWERS;
    run(5_000);
    assertAnswer(a, ResultCode.DONE, 1);
    assertEquals(1, a.system.version());
  }

  @Test
  void recognisesItsOwnRowInTheConflictOfARepeatedInsert() {
    ContractNode a = start("a");
    run(500);
    a.apply("blue", 0, text("blue", 1));
    runUntilTransactionAnswerIsLost(a);
    a.storeMode = StoreMode.ANSWERS_TRANSACTIONS_ONLY;
    run(3_000);
    assertAnswer(a, ResultCode.DONE, 1);
    assertEquals(2, table.transactions());
  }

  @Test
  void reportsAnUnknownOutcomeAndResolvesItOnceTheTableServiceAnswersAgain() {
    ContractNode a = start("a");
    run(500);
    a.apply("blue", 0, text("blue", 1));
    runUntilTransactionAnswerIsLost(a);
    a.storeMode = StoreMode.UNREACHABLE;
    run(8_000);
    assertAnswer(a, ResultCode.OUTCOME_UNKNOWN, 0);
    a.storeMode = StoreMode.ANSWERS;
    run(3_000);
    assertEquals(1, a.events("contract-change-resolved"));
    assertEquals(1, weight(a, "blue"));
  }

  @Test
  void reportsAnUnreachableTableServiceOnlyWhenNothingWasSentToIt() {
    ContractNode a = start("a");
    run(500);
    a.storeMode = StoreMode.UNREACHABLE;
    a.apply("blue", 0, text("blue", 1));
    run(8_000);
    assertAnswer(a, ResultCode.STORE_UNREACHABLE, 0);
    a.storeMode = StoreMode.ANSWERS;
    run(3_000);
    assertEquals(0, a.system.version());
    assertEquals(0, table.transactions());
  }

  @Test
  void learnsEverythingFromPeersInACutOffZone() {
    ContractNode a = start("a");
    fillLog(a, 150);
    ContractNode b = start("b");
    b.storeMode = StoreMode.UNREACHABLE;
    delivered = message -> !message.hasConfigPush();
    run(6_000);
    assertFalse(b.system.isReady(now));
    assertEquals("peer a has contracts up to 150; known up to 0", b.system.notReadyReason());
    delivered = message -> true;
    run(3_000);
    assertTrue(b.system.isReady(now));
    assertEquals("", b.system.notReadyReason());
    assertEquals(150, b.system.version());
  }

  @Test
  void isNotReadyWithNeitherTableServiceNorAReadyPeer() {
    ContractNode a = start("a");
    ContractNode b = start("b");
    a.storeMode = StoreMode.UNREACHABLE;
    b.storeMode = StoreMode.UNREACHABLE;
    run(10_000);
    assertFalse(a.system.isReady(now));
    assertEquals(
        "the table service has not given the whole log of contracts; known up to 0",
        a.system.notReadyReason());
    a.storeMode = StoreMode.ANSWERS;
    run(5_000);
    assertTrue(a.system.isReady(now));
    assertTrue(b.system.isReady(now));
  }

  @Test
  void isNotReadyBeforeItCaughtUpWithAPeerThatIsAhead() {
    ContractNode a = start("a");
    a.tick(now, List.of(fromPeer(PeerMessage.newBuilder().setHeartbeat(aheadAt(3)))));
    now += TICK_MILLIS;
    a.tick(now, List.of());
    assertFalse(a.system.isReady(now));
    a.tick(now, List.of(push(records(3))));
    assertTrue(a.system.isReady(now));
  }

  @Test
  void spreadsAChangeWhileTheTableServiceIsUnreachableForOthers() {
    ContractNode a = start("a");
    ContractNode b = start("b");
    run(2_000);
    b.storeMode = StoreMode.UNREACHABLE;
    a.apply("blue", 0, text("blue", 5));
    run(3_000);
    assertEquals(5, weight(b, "blue"));
  }

  @Test
  void keepsTheContractInForceWhenARecordCannotBeRead() {
    ContractNode a = start("a");
    ContractRecord unreadable =
        record(2, "blue").toBuilder().setText("customer = \"blue\"\nfuture = 1\n").build();
    a.tick(now, List.of(push(List.of(record(1, "blue"), unreadable))));
    assertEquals(2, a.system.version());
    assertEquals(1, weight(a, "blue"));
    assertEquals(1, a.events("contract-unreadable"));
  }

  @Property(tries = 100, seed = "20261204")
  void neverRevertsHoweverPushesArrive(@ForAll long seed) {
    Random random = new Random(seed);
    List<ContractRecord> all = records(20);
    ContractNode node = new ContractNode("a", ROSTER, new TableModel(), 0);
    long before = 0;
    for (int i = 0; i < 60; i++) {
      int from = random.nextInt(all.size());
      int to = from + random.nextInt(all.size() - from) + 1;
      node.tick(i, List.of(push(all.subList(from, to))));
      long version = node.system.version();
      assertTrue(version >= before);
      assertEquals(from <= before ? Math.max(before, to) : before, version);
      if (version > 0) {
        assertEquals(version, weight(node, "blue"));
      }
      before = version;
    }
  }

  private ContractNode start(String name) {
    ContractNode node = new ContractNode(name, ROSTER, table, now);
    nodes.add(node);
    return node;
  }

  private void run(long millis) {
    for (long end = now + millis; now < end; now += TICK_MILLIS) {
      List<PeerMessage> arrived = inFlight.stream().filter(delivered).toList();
      inFlight = new ArrayList<>();
      for (ContractNode node : nodes) {
        inFlight.addAll(node.tick(now, arrived));
      }
    }
  }

  /** Runs until a transaction was executed and its answer lost. */
  private void runUntilTransactionAnswerIsLost(ContractNode node) {
    node.storeMode = StoreMode.ANSWERS;
    long before = table.transactions();
    while (table.transactions() == before) {
      // Reads of the first tick are answered; the tick with the transaction is not.
      run(TICK_MILLIS);
      node.storeMode = StoreMode.EXECUTES_WITHOUT_ANSWER;
    }
  }

  private void fillLog(ContractNode node, int changes) {
    for (int i = 0; i < changes; i++) {
      node.apply("blue", i, text("blue", 1));
      run(4 * TICK_MILLIS);
    }
    assertEquals(changes, node.system.version());
  }

  private static List<ContractRecord> records(int count) {
    return IntStream.rangeClosed(1, count).mapToObj(i -> record(i, "blue")).toList();
  }

  private static ContractRecord record(int version, String customer) {
    return ContractRecord.newBuilder()
        .setVersion(version)
        .setCustomer(customer)
        .setText(text(customer, version))
        .build();
  }

  private static Heartbeat aheadAt(long version) {
    return Heartbeat.newBuilder().setConfigVersion(version).setReady(true).build();
  }

  private static PeerMessage push(List<ContractRecord> records) {
    ConfigPush.Builder push = ConfigPush.newBuilder().addAllRecords(records);
    return fromPeer(PeerMessage.newBuilder().setConfigPush(push));
  }

  private static PeerMessage fromPeer(PeerMessage.Builder message) {
    return message.setFrom("b").setIncarnation(1).setTo("a").build();
  }

  private static void assertAnswer(ContractNode node, ResultCode code, long revision) {
    assertEquals(1, node.answers.size());
    assertEquals(code, ResultCode.of(node.answers.get(0).getCode()));
    assertEquals(revision, node.answers.get(0).getRevision());
  }

  private static int weight(ContractNode node, String customer) {
    Contract contract = node.contracts.find(customer);
    return contract == null ? 0 : contract.weight();
  }

  private static String text(String customer, int weight) {
    return """
        customer = "%s"
        weight = %d
        [keys]
        sha256 = ["%s"]
        [batch]
        tasks = 1
        job-tasks = 1
        deadline = "1 h"
        """
        .formatted(customer, weight, "0".repeat(64));
  }
}
