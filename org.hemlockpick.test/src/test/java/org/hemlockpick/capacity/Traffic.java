package org.hemlockpick.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;

/**
 * Counts the messages of one entry instance by kind. Sizes are in Protocol Buffers encoding between
 * entry instances and in JSON to and from workers and the platform, without HTTP headers.
 */
final class Traffic {

  /**
   * Counts one kind of message.
   *
   * @param messages number of messages
   * @param bytes total encoded size
   * @param largest largest encoded size
   */
  record Count(long messages, long bytes, long largest) {
    Count plus(Count other) {
      return new Count(
          messages + other.messages, bytes + other.bytes, Math.max(largest, other.largest));
    }
  }

  private static final JsonFormat.Printer JSON =
      JsonFormat.printer().omittingInsignificantWhitespace();

  static final String LOCAL_HEARTBEAT = "HEARTBEAT within the zone";

  private final Map<String, Count> counts = new TreeMap<>();

  /** Returns the counts by kind; the name of a kind includes the direction. */
  Map<String, Count> counts() {
    return counts;
  }

  void clear() {
    counts.clear();
  }

  void sent(Output output) {
    switch (output.getBodyCase()) {
      case PEER_MESSAGE ->
          add(
              "peer sent " + kind(output.getPeerMessage()),
              output.getPeerMessage().getSerializedSize());
      case WORKER_CALL ->
          add(
              "worker sent " + output.getWorkerCall().getBodyCase(),
              json(body(output.getWorkerCall())));
      case STORE_CALL -> sent(output.getStoreCall());
      default -> {
        // Neither to another process of the system nor to the platform.
      }
    }
  }

  void received(Input input) {
    switch (input.getBodyCase()) {
      case PEER_MESSAGE ->
          add(
              "peer received " + kind(input.getPeerMessage()),
              input.getPeerMessage().getSerializedSize());
      case WORKER_REPLY ->
          add(
              "worker received " + input.getWorkerReply().getBodyCase(),
              json(body(input.getWorkerReply())));
      case STORE_REPLY -> add("reply of the store", json(input.getStoreReply()));
      case INSTANCE_LIST -> add("instance list", json(input.getInstanceList()));
      default -> {
        // From callers.
      }
    }
  }

  private void sent(StoreCall call) {
    switch (call.getBodyCase()) {
      case TRANSACTION -> {
        String table = call.getTransaction().getWrites(0).getTable();
        add("store write " + table, json(call));
        call.getTransaction()
            .getWritesList()
            .forEach(write -> add("row written " + write.getTable(), json(write)));
      }
      case READ -> add("store read " + call.getRead().getTable(), json(call));
      case SCAN -> add("store read " + call.getScan().getTable(), json(call));
      case BODY_NOT_SET -> add("store read nothing", json(call));
    }
  }

  /** Returns the size of a message in JSON, in bytes. */
  static int json(MessageOrBuilder message) {
    try {
      return JSON.print(message).getBytes(StandardCharsets.UTF_8).length;
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("a message has no JSON form", e);
    }
  }

  private static MessageOrBuilder body(WorkerCall call) {
    return switch (call.getBodyCase()) {
      case LEASE -> call.getLease();
      case REQUEST -> call.getRequest();
      case TASK_START -> call.getTaskStart();
      case TASK_STOP -> call.getTaskStop();
      case TASK_THROTTLE -> call.getTaskThrottle();
      case BODY_NOT_SET -> call;
    };
  }

  private static MessageOrBuilder body(WorkerReply reply) {
    return switch (reply.getBodyCase()) {
      case LEASE -> reply.getLease();
      case REQUEST -> reply.getRequest();
      case TASK -> reply.getTask();
      case BODY_NOT_SET -> reply;
    };
  }

  /** Returns the kind; heartbeats that name workers are those within the zone. */
  private static String kind(PeerMessage message) {
    String kind = message.getBodyCase().name();
    return message.getHeartbeat().getWorkersCount() > 0 ? LOCAL_HEARTBEAT : kind;
  }

  private void add(String kind, int bytes) {
    counts.merge(kind, new Count(1, bytes, bytes), Count::plus);
  }
}
