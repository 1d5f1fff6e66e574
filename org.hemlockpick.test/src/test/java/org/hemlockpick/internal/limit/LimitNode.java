package org.hemlockpick.internal.limit;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.internal.contract.ContractSystem;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.membership.MembershipSystem;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.ConfigPush;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.Heartbeat;
import org.hemlockpick.proto.LimitKind;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.PeerMessage;

/** Runs the limit system of one entry instance on its own clock and counts the units in use. */
final class LimitNode {
  static final String CUSTOMER = "blue";

  final LimitSystem limits;
  int inUse;
  long now;

  private final ContractSystem contracts;
  private final Outbox outbox;
  private final MembershipSystem membership;
  private long version;

  LimitNode(RosterMember member, List<RosterMember> roster, long incarnation, long now) {
    InstanceSettings settings =
        new InstanceSettings(member.name(), member.zone(), roster, Timing.defaults());
    PeerTable peers = new PeerTable(settings);
    ContractTable table = new ContractTable();
    this.now = now;
    outbox = new Outbox(settings, incarnation);
    outbox.beginTick(now);
    StoreCalls store = new StoreCalls(outbox, settings.timing());
    contracts = new ContractSystem(settings, outbox, store, peers, table);
    membership =
        new MembershipSystem(settings, outbox, peers, within -> Heartbeat.getDefaultInstance());
    limits = new LimitSystem(settings, outbox, peers, table);
  }

  void setLimit(int limit) {
    ContractRecord record =
        ContractRecord.newBuilder()
            .setVersion(++version)
            .setCustomer(CUSTOMER)
            .setText(text(limit))
            .build();
    ConfigPush.Builder push = ConfigPush.newBuilder().addRecords(record);
    contracts.on(PeerMessage.newBuilder().setConfigPush(push).build());
  }

  boolean acquire() {
    outbox.beginTick(now);
    boolean acquired = limits.tryAcquire(CUSTOMER, LimitKind.REQUESTS_IN_FLIGHT);
    inUse += acquired ? 1 : 0;
    return acquired;
  }

  void release() {
    limits.release(CUSTOMER, LimitKind.REQUESTS_IN_FLIGHT);
    inUse--;
  }

  int acquireAll() {
    int acquired = 0;
    while (acquire()) {
      acquired++;
    }
    return acquired;
  }

  int acquireRate(long now) {
    outbox.beginTick(now);
    int acquired = 0;
    while (limits.tryAcquireRate(CUSTOMER)) {
      acquired++;
    }
    return acquired;
  }

  void receive(PeerMessage message) {
    outbox.beginTick(now);
    if (membership.on(message)) {
      limits.on(message);
    }
  }

  /** Runs one tick and returns the messages to peers since the previous tick. */
  List<PeerMessage> tick(long now) {
    this.now = now;
    outbox.beginTick(now);
    membership.run(now);
    limits.run(now);
    List<PeerMessage> sent = new ArrayList<>();
    for (Output output : outbox.drain()) {
      if (output.hasPeerMessage()) {
        sent.add(output.getPeerMessage());
      }
    }
    return sent;
  }

  private static String text(int limit) {
    return """
        customer = "%s"
        [keys]
        sha256 = ["%s"]
        [requests]
        in-flight = %d
        per-second = %d
        [services.s]
        timeout = "1 s"
        target = "1 s"
        """
        .formatted(CUSTOMER, "0".repeat(64), limit, limit);
  }
}
