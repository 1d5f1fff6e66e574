package org.hemlockpick.internal.loop;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.Event;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.Stopped;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReset;

/** Collects the outputs of a tick and stamps them with the Lamport clock of this instance. */
public final class Outbox {
  private final InstanceSettings settings;
  private final long incarnation;
  private List<Output> outputs = new ArrayList<>();
  private long clock;
  private long now;

  /**
   * Creates an empty outbox.
   *
   * @param settings settings of this entry instance
   * @param incarnation number of this start of the entry instance
   */
  public Outbox(InstanceSettings settings, long incarnation) {
    this.settings = settings;
    this.incarnation = incarnation;
  }

  /** Returns the number of this start of the entry instance. */
  public long incarnation() {
    return incarnation;
  }

  /**
   * Begins a tick.
   *
   * @param now time of the tick in milliseconds on the loop's clock
   */
  public void beginTick(long now) {
    this.now = now;
  }

  /** Returns the time of the current tick in milliseconds on the loop's clock. */
  public long now() {
    return now;
  }

  /**
   * Advances the Lamport clock past the clock of a received message.
   *
   * @param received clock of the message; 0 when it had none
   */
  public void advanceClock(long received) {
    clock = Math.max(clock, received) + 1;
  }

  /** Returns and removes the outputs collected since the last call. */
  public List<Output> drain() {
    List<Output> drained = outputs;
    outputs = new ArrayList<>();
    return drained;
  }

  /** Answers a caller or an operator with a result code and a detail text. */
  public void answer(long exchange, ResultCode code, String detail, long retryAfterMillis) {
    answer(
        CallerAnswer.newBuilder()
            .setExchange(exchange)
            .setCode(code.number())
            .setDetail(detail)
            .setRetryAfterMillis((int) retryAfterMillis));
  }

  /** Answers a caller or an operator. */
  public void answer(CallerAnswer.Builder answer) {
    outputs.add(next().setCallerAnswer(answer).build());
  }

  /** Sends a message to a peer after setting its sender, receiver and clock. */
  public void send(String peer, PeerMessage.Builder message) {
    Output.Builder output = next();
    message
        .setFrom(settings.name())
        .setIncarnation(incarnation)
        .setZone(settings.zone())
        .setTo(peer)
        .setClock(output.getClock());
    outputs.add(output.setPeerMessage(message).build());
  }

  /** Adds an event to the timeline. */
  public void event(String kind, String subject, String detail) {
    Output.Builder output = next();
    Event event =
        Event.newBuilder()
            .setInstance(settings.name())
            .setIncarnation(incarnation)
            .setClock(output.getClock())
            .setAtMillis(now)
            .setKind(kind)
            .setSubject(subject)
            .setDetail(detail)
            .build();
    outputs.add(output.setEvent(event).build());
  }

  /** Requests that the open connections to a worker be closed. */
  public void resetWorker(String worker) {
    outputs.add(next().setWorkerReset(WorkerReset.newBuilder().setWorker(worker)).build());
  }

  /** Reports that the planned stop is complete. */
  public void stopped() {
    outputs.add(next().setStopped(Stopped.getDefaultInstance()).build());
  }

  void call(WorkerCall.Builder call) {
    outputs.add(next().setWorkerCall(call).build());
  }

  void call(StoreCall.Builder call) {
    outputs.add(next().setStoreCall(call).build());
  }

  void call(BlobCall.Builder call) {
    outputs.add(next().setBlobCall(call).build());
  }

  private Output.Builder next() {
    return Output.newBuilder().setClock(++clock);
  }
}
