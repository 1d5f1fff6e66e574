package org.hemlockpick.capacity;

import com.google.protobuf.ByteString;
import java.util.EnumMap;
import java.util.Map;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.proto.AssignedTask;
import org.hemlockpick.proto.AssignedTasks;
import org.hemlockpick.proto.ConfigPull;
import org.hemlockpick.proto.ConfigPush;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.Heartbeat;
import org.hemlockpick.proto.LimitKind;
import org.hemlockpick.proto.Loan;
import org.hemlockpick.proto.LoanAsk;
import org.hemlockpick.proto.LoanReturn;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.RequestForward;
import org.hemlockpick.proto.RequestOutcome;
import org.hemlockpick.proto.ShardHint;

/** Builds messages between entry instances with typical contents at the design size. */
final class TypicalMessages {
  private static final long INCARNATION = 1_780_000_000_000L;
  private static final long CLOCK = 100_000_000;
  private static final int ASSIGNED_TASKS = 6;
  private static final String JOB = "region3-az2-entry1-1780000000000-4711";
  private static final ByteString BODY = ByteString.copyFrom(new byte[1_024]);

  private TypicalMessages() {}

  /** Returns one message of each kind except heartbeats. */
  static Map<PeerMessage.BodyCase, PeerMessage> nonHeartbeats() {
    Map<PeerMessage.BodyCase, PeerMessage> messages = new EnumMap<>(PeerMessage.BodyCase.class);
    put(messages, message().setRequestForward(forward()));
    put(messages, message().setRequestOutcome(outcome()));
    put(messages, message().setConfigPull(ConfigPull.newBuilder().setKnownVersion(219_000)));
    put(messages, message().setConfigPush(ConfigPush.newBuilder().addRecords(record())));
    put(messages, message().setLoanAsk(loanAsk()));
    put(messages, message().setLoan(loan()));
    put(messages, message().setLoanReturn(loanReturn()));
    put(messages, message().setAssignedTasks(assigned()));
    put(messages, message().setShardHint(ShardHint.newBuilder().setJob(JOB).setShard(3)));
    return messages;
  }

  /** Returns a heartbeat from an entry instance of another zone. */
  static PeerMessage remoteHeartbeat(RosterMember from, String to, long version) {
    Heartbeat.Builder heartbeat =
        Heartbeat.newBuilder()
            .setConfigVersion(version)
            .setReady(true)
            .setFreeSlots(700)
            .setFreeBatchCpuMillis(480_000)
            .setSettledForwardsBelow(100_000);
    return message()
        .setFrom(from.name())
        .setZone(from.zone())
        .setTo(to)
        .setHeartbeat(heartbeat)
        .build();
  }

  private static void put(
      Map<PeerMessage.BodyCase, PeerMessage> messages, PeerMessage.Builder message) {
    messages.put(message.getBodyCase(), message.build());
  }

  private static PeerMessage.Builder message() {
    return PeerMessage.newBuilder()
        .setFrom(Names.entry(0))
        .setIncarnation(INCARNATION)
        .setZone(Names.ZONE)
        .setTo(Names.entry(1))
        .setClock(CLOCK);
  }

  private static RequestForward.Builder forward() {
    return RequestForward.newBuilder()
        .setForwardId(CLOCK)
        .setCustomer(Names.customer(1))
        .setService(Names.SERVICE)
        .setTimeoutMillis(5_000)
        .setBody(BODY)
        .setToIncarnation(INCARNATION);
  }

  private static RequestOutcome.Builder outcome() {
    return RequestOutcome.newBuilder()
        .setForwardId(CLOCK)
        .setCode(1)
        .setBody(BODY)
        .setToIncarnation(INCARNATION);
  }

  private static ContractRecord.Builder record() {
    return ContractRecord.newBuilder()
        .setVersion(219_000)
        .setCustomer(Names.customer(1))
        .setText(Names.contract(1))
        .setOperator("operator")
        .setWriteId(Names.entry(0) + "-" + INCARNATION + "-17");
  }

  private static LoanAsk.Builder loanAsk() {
    return LoanAsk.newBuilder()
        .setCustomer(Names.customer(1))
        .setKind(LimitKind.BATCH_TASKS)
        .setUnits(20)
        .setKnownTotal(CLOCK)
        .setToIncarnation(INCARNATION);
  }

  private static Loan.Builder loan() {
    return Loan.newBuilder()
        .setCustomer(Names.customer(1))
        .setKind(LimitKind.BATCH_TASKS)
        .setLentTotal(CLOCK)
        .setDueMillis(5_000)
        .setToIncarnation(INCARNATION);
  }

  private static LoanReturn.Builder loanReturn() {
    return LoanReturn.newBuilder()
        .setCustomer(Names.customer(1))
        .setKind(LimitKind.BATCH_TASKS)
        .setReturnedTotal(CLOCK)
        .setToIncarnation(INCARNATION);
  }

  private static AssignedTasks.Builder assigned() {
    AssignedTasks.Builder tasks =
        AssignedTasks.newBuilder()
            .setWorker(Names.worker(7))
            .setBoot(Names.worker(7) + "-1780000000000");
    for (int i = 0; i < ASSIGNED_TASKS; i++) {
      tasks.addTasks(AssignedTask.newBuilder().setJob(JOB).setIndex(i).setAttempt(1).setShard(3));
    }
    return tasks;
  }
}
