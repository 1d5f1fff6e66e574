package org.hemlockpick.internal.loop;

import java.util.function.Consumer;
import org.hemlockpick.proto.CallFate;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;

/**
 * Sends calls to workers and passes each reply to its handler. A call without an answer within its
 * time limit completes with {@link CallFate#LOST}.
 */
public final class WorkerCalls implements LoopSystem {
  private final CallTable<WorkerReply> calls = new CallTable<>();
  private final Outbox outbox;

  /** Creates the client; no call is in flight yet. */
  public WorkerCalls(Outbox outbox) {
    this.outbox = outbox;
  }

  /**
   * Sends a call.
   *
   * @param call the call without its id, but with its time limit in milliseconds
   * @param handler called once with the reply
   */
  public void send(WorkerCall.Builder call, Consumer<WorkerReply> handler) {
    WorkerReply lost = WorkerReply.newBuilder().setFate(CallFate.LOST).build();
    long id = calls.add(outbox.now() + call.getTimeoutMillis(), lost, handler);
    outbox.call(call.setCallId(id));
  }

  /** Handles a reply from a worker. */
  public void on(WorkerReply reply) {
    calls.settle(reply.getCallId(), reply);
  }

  @Override
  public void run(long now) {
    calls.expire(now);
  }
}
