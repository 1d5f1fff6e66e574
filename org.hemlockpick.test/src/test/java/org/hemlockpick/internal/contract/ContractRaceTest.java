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
import org.hemlockpick.internal.contract.ContractNode.Store;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.ContractView;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.standin.TableModel;

/** Checks the answers of racing operators against the rows that the table service holds. */
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

  private static final List<Store> FATES = List.of(Store.values());

  private record Asked(String customer, long base, String text) {}

  @Property(tries = 60, seed = "20261204")
  void answersMatchTheLogHoweverTheTableServiceFails(@ForAll long seed) {
    Random random = new Random(seed);
    TableModel table = new TableModel();
    List<ContractNode> nodes =
        ROSTER.stream().map(seat -> new ContractNode(seat.name(), ROSTER, table, 0)).toList();
    List<Asked> asked = new ArrayList<>();
    List<PeerMessage> wire = new ArrayList<>();
    for (int tick = 0; tick < TICKS + SETTLE_TICKS; tick++) {
      List<PeerMessage> arrived = wire.stream().filter(message -> random.nextInt(4) > 0).toList();
      wire.clear();
      for (ContractNode node : nodes) {
        node.store = tick < TICKS ? someFate(random, node.store) : Store.ANSWERS;
        if (tick < TICKS && random.nextInt(20) == 0) {
          ask(node, random, asked);
        }
        long before = node.system.version();
        wire.addAll(node.tick(tick * TICK_MILLIS, arrived));
        assertTrue(node.system.version() >= before);
      }
    }
    List<ContractRecord> log = log(table);
    checkChain(log, asked);
    nodes.forEach(node -> checkAnswers(node, log, asked));
    nodes.forEach(node -> assertEquals(log.size(), node.system.version()));
    assertEquals(asked.size(), nodes.stream().mapToInt(node -> node.answers.size()).sum());
  }

  private static Store someFate(Random random, Store present) {
    if (random.nextInt(10) > 0) {
      return present;
    }
    return random.nextBoolean() ? Store.ANSWERS : FATES.get(random.nextInt(FATES.size()));
  }

  private static void ask(ContractNode node, Random random, List<Asked> asked) {
    String customer = CUSTOMERS.get(random.nextInt(CUSTOMERS.size()));
    long exchange = asked.size() + 1L;
    long base = revision(node, customer);
    String text = text(customer, exchange);
    asked.add(new Asked(customer, base, text));
    node.apply(exchange, customer, base, text);
  }

  private static long revision(ContractNode node, String customer) {
    return node.inForce().stream()
        .filter(view -> view.getCustomer().equals(customer))
        .mapToLong(ContractView::getRevision)
        .findFirst()
        .orElse(0);
  }

  /** Each record must have been based on the one before it of the same customer. */
  private static void checkChain(List<ContractRecord> log, List<Asked> asked) {
    Map<String, Long> newest = new HashMap<>();
    Map<String, Asked> byText = new HashMap<>();
    asked.forEach(change -> byText.put(change.text(), change));
    for (ContractRecord record : log) {
      Asked change = byText.remove(record.getText());
      assertTrue(change != null, "written twice or never asked for: " + record);
      assertEquals(newest.getOrDefault(record.getCustomer(), 0L), change.base());
      newest.put(record.getCustomer(), record.getVersion());
    }
  }

  private static void checkAnswers(ContractNode node, List<ContractRecord> log, List<Asked> asked) {
    for (CallerAnswer answer : node.answers) {
      String text = asked.get((int) answer.getExchange() - 1).text();
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
