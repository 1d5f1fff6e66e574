package org.hemlockpick.internal.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.contract.ContractNode.StoreMode;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.ContractView;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.standin.TableModel;

/** Checks the answers to racing operators against the rows in the table service. */
class ContractRaceTest {
  private static final long TICK_MILLIS = 100;
  private static final int TICKS = 600;
  private static final int SETTLE_TICKS = 150;
  private static final List<RosterMember> ROSTER =
      List.of(
          new RosterMember("a", "kgn-a"),
          new RosterMember("b", "kgn-a"),
          new RosterMember("c", "kgn-a"));
  private static final List<String> CUSTOMERS = List.of("blue", "green");

  private static final List<StoreMode> STORE_MODES = List.of(StoreMode.values());

  private record RequestedChange(String customer, long base, String text) {}

  @Property(tries = 60, seed = "20261204")
  void answersMatchTheLogHoweverTheTableServiceFails(@ForAll long seed) {
    Random random = new Random(seed);
    TableModel table = new TableModel();
    List<ContractNode> nodes =
        ROSTER.stream().map(member -> new ContractNode(member.name(), ROSTER, table, 0)).toList();
    List<RequestedChange> requested = new ArrayList<>();
    List<PeerMessage> inFlight = new ArrayList<>();
    for (int tick = 0; tick < TICKS + SETTLE_TICKS; tick++) {
      List<PeerMessage> arrived =
          inFlight.stream().filter(message -> random.nextInt(4) > 0).toList();
      inFlight.clear();
      for (ContractNode node : nodes) {
        node.storeMode = tick < TICKS ? nextStoreMode(random, node.storeMode) : StoreMode.ANSWERS;
        if (tick < TICKS && random.nextInt(20) == 0) {
          requestChange(node, random, requested);
        }
        long before = node.system.version();
        inFlight.addAll(node.tick(tick * TICK_MILLIS, arrived));
        assertTrue(node.system.version() >= before);
      }
    }
    List<ContractRecord> log = log(table);
    checkChain(log, requested);
    nodes.forEach(node -> checkAnswers(node, log, requested));
    nodes.forEach(node -> assertEquals(log.size(), node.system.version()));
    assertEquals(requested.size(), nodes.stream().mapToInt(node -> node.answers.size()).sum());
  }

  private static StoreMode nextStoreMode(Random random, StoreMode current) {
    if (random.nextInt(10) > 0) {
      return current;
    }
    return random.nextBoolean()
        ? StoreMode.ANSWERS
        : STORE_MODES.get(random.nextInt(STORE_MODES.size()));
  }

  private static void requestChange(
      ContractNode node, Random random, List<RequestedChange> requested) {
    String customer = CUSTOMERS.get(random.nextInt(CUSTOMERS.size()));
    long exchange = requested.size() + 1L;
    long base = revision(node, customer);
    String text = text(customer, exchange);
    requested.add(new RequestedChange(customer, base, text));
    node.apply(exchange, customer, base, text);
  }

  private static long revision(ContractNode node, String customer) {
    return node.inForce().stream()
        .filter(view -> view.getCustomer().equals(customer))
        .mapToLong(ContractView::getRevision)
        .findFirst()
        .orElse(0);
  }

  /** Checks that each record is based on the previous record of the same customer. */
  private static void checkChain(List<ContractRecord> log, List<RequestedChange> requested) {
    Map<String, Long> newest = new HashMap<>();
    Map<String, RequestedChange> byText = new HashMap<>();
    requested.forEach(change -> byText.put(change.text(), change));
    for (ContractRecord record : log) {
      RequestedChange change = byText.remove(record.getText());
      assertTrue(change != null, "written twice or never asked for: " + record);
      assertEquals(newest.getOrDefault(record.getCustomer(), 0L), change.base());
      newest.put(record.getCustomer(), record.getVersion());
    }
  }

  private static void checkAnswers(
      ContractNode node, List<ContractRecord> log, List<RequestedChange> requested) {
    for (CallerAnswer answer : node.answers) {
      String text = requested.get((int) answer.getExchange() - 1).text();
      long revision =
          log.stream()
              .filter(record -> record.getText().equals(text))
              .mapToLong(ContractRecord::getVersion)
              .findFirst()
              .orElse(0);
      ResultCode code = ResultCode.of(answer.getCode());
      if (code != ResultCode.OUTCOME_UNKNOWN) {
        assertEquals(code == ResultCode.DONE, revision > 0, answer + " but at " + revision);
        assertEquals(answer.getRevision(), revision);
      }
    }
  }

  private static List<ContractRecord> log(TableModel table) {
    RowScan scan = RowScan.newBuilder().setTable("config").setLimit(10_000).build();
    return table.handle(StoreCall.newBuilder().setScan(scan).build()).getRowsList().stream()
        .map(ContractRaceTest::record)
        .toList();
  }

  private static ContractRecord record(Row row) {
    try {
      return ContractRecord.parseFrom(row.getValue());
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError(e);
    }
  }

  private static String text(String customer, long change) {
    return """
        # Change %d
        customer = "%s"
        [keys]
        sha256 = ["%s"]
        [batch]
        tasks = 1
        job-tasks = 1
        deadline = "1 h"
        """
        .formatted(change, customer, "0".repeat(64));
  }
}
