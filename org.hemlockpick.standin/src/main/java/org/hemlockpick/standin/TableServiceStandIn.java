package org.hemlockpick.standin;

import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreReply;

/** Stand-in for the table service: POST /v1/calls with a StoreCall returns a StoreReply. */
public final class TableServiceStandIn implements StandIn {
  private final Timeline timeline;
  private final TableModel model = new TableModel();

  /** Creates an empty table service. */
  public TableServiceStandIn(String name, InstantSource time) {
    this.timeline = new Timeline(name, time);
  }

  @Override
  public Timeline timeline() {
    return timeline;
  }

  @Override
  public CompletableFuture<Reply> handle(Call call) {
    if (!call.isPost("/v1/calls")) {
      throw new CallException(404, Messages.noSuchPath(call.method(), call.path()));
    }
    StoreCall storeCall = MessageJson.merge(call.body(), StoreCall.newBuilder()).build();
    if (storeCall.getBodyCase() == StoreCall.BodyCase.BODY_NOT_SET) {
      throw new CallException(400, Messages.emptyCall());
    }
    return CompletableFuture.completedFuture(Reply.of(answer(storeCall)));
  }

  private synchronized StoreReply answer(StoreCall call) {
    StoreReply reply = model.handle(call);
    if (call.hasTransaction()) {
      String subject = "transaction " + reply.getVersion();
      timeline.write(reply.getStatus().name(), subject, writes(call));
    }
    return reply;
  }

  private static String writes(StoreCall call) {
    return call.getTransaction().getWritesList().stream()
        .map(write -> write.getTable() + "/" + write.getKey())
        .collect(Collectors.joining(" "));
  }
}
