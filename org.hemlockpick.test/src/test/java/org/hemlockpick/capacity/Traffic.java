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
 * Counts messages of one entry instance by kind: those between entry instances in the encoding of
 * Protocol Buffers, and those to and from workers and the platform in JSON, without HTTP headers.
 */
final class Traffic {

  /**
   * Counts one kind of message.
   *
   * @param messages how many
   * @param bytes their encoded size in all
   * @param largest the largest encoded size
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

  /** Returns the counts by kind; the kinds begin with the direction. */
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
        // Not between processes of the system or to the platform.
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

  /** Only heartbeats within the zone name workers. */
  private static String kind(PeerMessage message) {
    String kind = message.getBodyCase().name();
    return message.getHeartbeat().getWorkersCount() > 0 ? LOCAL_HEARTBEAT : kind;
  }

  private void add(String kind, int bytes) {
    counts.merge(kind, new Count(1, bytes, bytes), Count::plus);
  }
}
