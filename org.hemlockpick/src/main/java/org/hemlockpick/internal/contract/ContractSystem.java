package org.hemlockpick.internal.contract;

import io.vavr.collection.Seq;
import io.vavr.control.Validation;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.hemlockpick.contract.Contract;
import org.hemlockpick.contract.ContractFault;
import org.hemlockpick.contract.ContractParser;
import org.hemlockpick.errors.ContractMessages;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.ConfigPush;
import org.hemlockpick.proto.ContractApply;
import org.hemlockpick.proto.ContractQuery;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.ContractView;
import org.hemlockpick.proto.PeerMessage;

/**
 * Maintains the contracts in force: learns accepted changes from the table service and from peers,
 * and records operators' changes.
 *
 * <p>The changes form one log without gaps. A record takes effect only after all earlier records,
 * so the version of an entry instance never decreases.
 */
public final class ContractSystem implements LoopSystem {
  private final ContractLog log = new ContractLog();
  private final Map<String, ContractRecord> inForce = new TreeMap<>();
  private final Outbox outbox;
  private final ContractTable contracts;
  private final ContractLogReader reader;
  private final ContractLogGossip gossip;
  private final ContractWriter writer;
  private final ContractReadiness readiness;

  /** Creates the system with no contract in force. */
  public ContractSystem(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      PeerTable peers,
      ContractTable contracts) {
    this.outbox = outbox;
    this.contracts = contracts;
    reader = new ContractLogReader(log, store, outbox, settings.timing(), this::learn);
    gossip = new ContractLogGossip(log, outbox, peers);
    writer = new ContractWriter(settings, outbox, store, log, reader);
    readiness = new ContractReadiness(settings.timing(), log, reader, peers);
  }

  /** Handles an operator's change, which is answered once its result is known. */
  public void on(ContractApply apply) {
    String operator = apply.getOperator();
    if (operator.isBlank() || operator.length() > ContractWriter.MAX_OPERATOR_CHARS) {
      refuse(apply, ResultCode.BAD_REQUEST, ContractMessages.BAD_OPERATOR);
      return;
    }
    if (apply.getText().length() > ContractWriter.MAX_TEXT_CHARS) {
      refuse(apply, ResultCode.TOO_LARGE, "");
      return;
    }
    if (!apply.getText().isEmpty()) {
      Validation<Seq<ContractFault>, Contract> parsed = parse(apply.getCustomer(), apply.getText());
      if (parsed.isInvalid()) {
        refuse(apply, ResultCode.CONTRACT_INVALID, lines(parsed.getError()));
        return;
      }
    }
    writer.add(apply);
  }

  /** Answers with the contracts in force. */
  public void on(ContractQuery query) {
    CallerAnswer.Builder answer =
        CallerAnswer.newBuilder()
            .setExchange(query.getExchange())
            .setCode(ResultCode.DONE.number());
    inForce.values().forEach(record -> answer.addContracts(view(record)));
    outbox.answer(answer);
  }

  /** Handles peer messages about contracts; ignores other messages. */
  public void on(PeerMessage message) {
    switch (message.getBodyCase()) {
      case CONFIG_PULL -> gossip.onPull(message.getFrom(), message.getConfigPull());
      case CONFIG_PUSH -> onPush(message.getFrom(), message.getConfigPush());
      case HEARTBEAT -> gossip.onHeartbeat(message.getFrom(), message.getHeartbeat());
      default -> {
        // Not about contracts.
      }
    }
  }

  @Override
  public void run(long now) {
    reader.run(now);
    writer.run(now);
    readiness.run(now);
  }

  /**
   * Returns whether this entry instance knows the contracts well enough to serve; once true, it
   * stays true.
   *
   * @param now time of the tick in milliseconds on the loop's clock
   */
  public boolean isReady(long now) {
    readiness.run(now);
    return readiness.isReady();
  }

  /** Returns what {@link #isReady} waits for; empty if it waits for nothing. */
  public String notReadyReason() {
    return readiness.reason(outbox.now());
  }

  /** Returns the version of the newest change in effect here; 0 if there is none. */
  public long version() {
    return log.version();
  }

  private void onPush(String peer, ConfigPush push) {
    long before = log.version();
    push.getRecordsList().forEach(this::learn);
    if (log.version() > before) {
      gossip.pullRest(peer);
    }
  }

  private void learn(ContractRecord record) {
    if (!log.append(record)) {
      return;
    }
    putInForce(record);
    writer.onLearned(record);
  }

  private void putInForce(ContractRecord record) {
    String customer = record.getCustomer();
    if (record.getText().isEmpty()) {
      contracts.remove(customer);
      inForce.remove(customer);
      outbox.event("contract-withdrawn", customer, "revision " + record.getVersion());
      return;
    }
    Validation<Seq<ContractFault>, Contract> parsed = parse(customer, record.getText());
    if (parsed.isInvalid()) {
      // Written by another software version: the previous contract stays in force.
      outbox.event("contract-unreadable", customer, lines(parsed.getError()));
      return;
    }
    contracts.put(parsed.get());
    inForce.put(customer, record);
    outbox.event("contract-in-force", customer, "revision " + record.getVersion());
  }

  private void refuse(ContractApply apply, ResultCode code, String detail) {
    outbox.answer(apply.getExchange(), code, detail, 0);
  }

  private static Validation<Seq<ContractFault>, Contract> parse(String customer, String text) {
    return ContractParser.parse(customer + ".toml", text, customer);
  }

  private static String lines(Seq<ContractFault> faults) {
    return faults.toJavaStream().map(ContractFault::toString).collect(Collectors.joining("\n"));
  }

  private static ContractView view(ContractRecord record) {
    return ContractView.newBuilder()
        .setCustomer(record.getCustomer())
        .setRevision(record.getVersion())
        .setOperator(record.getOperator())
        .setText(record.getText())
        .build();
  }
}
