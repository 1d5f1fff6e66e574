package org.hemlockpick.transport.http;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.hemlockpick.proto.CallFate;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.LeaseReply;
import org.hemlockpick.proto.RequestReply;
import org.hemlockpick.proto.TaskReply;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;

/**
 * Calls workers over HTTP. Every call gets exactly one reply, at the latest at its timeout, and is
 * sent at most once.
 */
public final class WorkerClient {
  /** Connections that a worker accepts, less a reserve for the next owner and for operators. */
  private static final int MAX_CONNECTIONS = 64 - 8;

  private final HttpTransport transport;
  private final Consumer<Input> inputs;
  private final Map<String, MessageEndpoint> endpoints = new ConcurrentHashMap<>();

  /**
   * Creates a client without connections.
   *
   * @param transport transport that all HTTP clients share
   * @param inputs receives the replies; called on any thread, must not block
   */
  public WorkerClient(HttpTransport transport, Consumer<Input> inputs) {
    this.transport = transport;
    this.inputs = inputs;
  }

  /**
   * Sends a call; its reply arrives as an input.
   *
   * @param call call with a timeout in milliseconds
   * @param clock Lamport clock of this entry instance
   */
  public void call(WorkerCall call, long clock) {
    MessageEndpoint endpoint = endpoint(call);
    if (call.getFreshConnection()) {
      endpoint.reset();
    }
    MessagePost post = new MessagePost(path(call), body(call), clock, call.getTimeoutMillis());
    endpoint.post(post, result -> inputs.accept(input(call, result)));
  }

  /**
   * Makes the next call to a worker open a new connection; the earlier ones are closed as soon as
   * the calls in flight on them have ended.
   */
  public void resetConnections(String worker) {
    MessageEndpoint endpoint = endpoints.get(worker);
    if (endpoint != null) {
      endpoint.reset();
    }
  }

  private MessageEndpoint endpoint(WorkerCall call) {
    return endpoints.compute(
        call.getWorker(),
        (worker, known) -> {
          if (known != null && known.address().equals(call.getAddress())) {
            return known;
          }
          if (known != null) {
            known.close();
          }
          return new MessageEndpoint(transport, call.getAddress(), MAX_CONNECTIONS);
        });
  }

  private static String path(WorkerCall call) {
    return switch (call.getBodyCase()) {
      case LEASE -> "/v1/lease";
      case REQUEST -> "/v1/requests";
      case TASK_START -> "/v1/tasks/start";
      case TASK_STOP -> "/v1/tasks/stop";
      case TASK_THROTTLE -> "/v1/tasks/throttle";
      case BODY_NOT_SET -> throw new IllegalArgumentException("call without a body");
    };
  }

  private static MessageOrBuilder body(WorkerCall call) {
    return switch (call.getBodyCase()) {
      case LEASE -> call.getLease();
      case REQUEST -> call.getRequest();
      case TASK_START -> call.getTaskStart();
      case TASK_STOP -> call.getTaskStop();
      case TASK_THROTTLE -> call.getTaskThrottle();
      case BODY_NOT_SET -> throw new IllegalArgumentException("call without a body");
    };
  }

  private static Input input(WorkerCall call, MessageResult result) {
    WorkerReply.Builder reply =
        WorkerReply.newBuilder()
            .setCallId(call.getCallId())
            .setWorker(call.getWorker())
            .setFate(result.fate());
    if (result.isAnswered() && !read(call, result.body(), reply)) {
      reply.setFate(CallFate.LOST);
    }
    return Input.newBuilder().setClock(result.clock()).setWorkerReply(reply).build();
  }

  /** Parses a response body; returns false and sets nothing unless it answers the call. */
  private static boolean read(WorkerCall call, String json, WorkerReply.Builder reply) {
    try {
      if (call.hasLease()) {
        reply.setLease(Json.merge(json, LeaseReply.newBuilder()));
        return true;
      }
      if (!call.hasRequest()) {
        reply.setTask(Json.merge(json, TaskReply.newBuilder()));
        return true;
      }
      RequestReply request = Json.merge(json, RequestReply.newBuilder()).build();
      if (request.getSequence() != call.getRequest().getSequence()) {
        return false;
      }
      reply.setRequest(request);
      return true;
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }
}
