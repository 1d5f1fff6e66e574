package org.hemlockpick.world;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.ContractApply;
import org.hemlockpick.proto.EvacuationChange;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.JobCancel;
import org.hemlockpick.proto.JobSpec;
import org.hemlockpick.proto.JobSubmit;

/** Sends requests, jobs and contracts to the entry instances and retries requests. */
final class Callers {
  static final String KEY_DIGEST = "0".repeat(64);
  private static final int TIMEOUT_MILLIS = 1_500;
  private static final long RETRY_MILLIS = 400;
  private static final int MAX_RETRIES = 6;

  private final World world;
  private final List<String> jobs = new ArrayList<>();
  private long lastExchange;
  private long lastKey;
  private boolean loading = true;

  Callers(World world) {
    this.world = world;
  }

  /** Returns the submission keys of all jobs. */
  List<String> jobs() {
    return jobs;
  }

  long newExchange() {
    return ++lastExchange;
  }

  /** Sends requests at random intervals until {@link #stopLoad}. */
  void sendSteadyLoad(long intervalMillis) {
    if (!loading) {
      return;
    }
    sendRequest();
    world.time.after(
        1 + world.conditions.random.nextInt((int) (2 * intervalMillis)),
        () -> sendSteadyLoad(intervalMillis));
  }

  void stopLoad() {
    loading = false;
  }

  /** Sends one request to a random ready entry instance. */
  void sendRequest() {
    boolean idempotent = world.conditions.chance(0.5);
    String key = (idempotent ? "i" : "n") + ++lastKey;
    send(key, idempotent, 0);
  }

  /** Sends one idempotent request to an entry instance and returns the exchange. */
  long sendTo(EntryNode node) {
    return send(node, "i" + ++lastKey, true);
  }

  /** Sends many requests at once. */
  void sendBurst(int count) {
    for (int i = 0; i < count; i++) {
      sendRequest();
    }
  }

  /** Applies a contract text at one entry instance and returns the exchange. */
  long apply(EntryNode node, String customer, String text, long baseRevision) {
    long exchange = newExchange();
    ContractApply.Builder apply =
        ContractApply.newBuilder()
            .setExchange(exchange)
            .setOperator("operator")
            .setCustomer(customer)
            .setBaseRevision(baseRevision)
            .setText(text);
    world.input(node, Input.newBuilder().setContractApply(apply));
    return exchange;
  }

  /** Begins or ends the evacuation of an availability zone and returns the exchange. */
  long evacuate(EntryNode node, String zone, boolean end) {
    long exchange = newExchange();
    EvacuationChange.Builder change =
        EvacuationChange.newBuilder()
            .setExchange(exchange)
            .setOperator("operator")
            .setZone(zone)
            .setEnd(end);
    world.input(node, Input.newBuilder().setEvacuationChange(change));
    return exchange;
  }

  /** Submits a job with the given number of tasks. */
  void submit(EntryNode node, int tasks) {
    String key = "job" + ++lastKey;
    jobs.add(key);
    send(node, key, tasks, false, newExchange());
  }

  /** Submits an urgent job with the given number of tasks. */
  void submitUrgent(EntryNode node, int tasks) {
    String key = "urgent" + ++lastKey;
    jobs.add(key);
    send(node, key, tasks, true, newExchange());
  }

  private void send(EntryNode node, String key, int tasks, boolean urgent, long exchange) {
    JobSpec.Builder spec =
        JobSpec.newBuilder()
            .setName(key)
            .setTaskCount(tasks)
            .setKind("rib-spacing")
            .setCpuMillis(1_000)
            .setMemoryMb(500)
            .setDeclaredRunMillis(2_000)
            .setUrgent(urgent);
    JobSubmit.Builder submit =
        JobSubmit.newBuilder()
            .setExchange(exchange)
            .setCustomer("orikiri")
            .setKeyDigest(KEY_DIGEST)
            .setSubmissionKey(key)
            .setSpec(spec);
    world.input(node, Input.newBuilder().setJobSubmit(submit));
  }

  /** Cancels a job by its id. */
  void cancel(EntryNode node, String job) {
    JobCancel.Builder cancel =
        JobCancel.newBuilder()
            .setExchange(newExchange())
            .setCustomer("orikiri")
            .setKeyDigest(KEY_DIGEST)
            .setJob(job);
    world.input(node, Input.newBuilder().setJobCancel(cancel));
  }

  private void send(String key, boolean idempotent, int retries) {
    List<EntryNode> ready = world.entries.values().stream().filter(EntryNode::isReady).toList();
    if (ready.isEmpty()) {
      return;
    }
    EntryNode node = ready.get(world.conditions.random.nextInt(ready.size()));
    long exchange = send(node, key, idempotent);
    if (!idempotent && retries < MAX_RETRIES) {
      retryLater(exchange, key, retries);
    }
  }

  private long send(EntryNode node, String key, boolean idempotent) {
    long exchange = newExchange();
    String body = idempotent ? key + "#" + exchange : key + "#";
    long deadline = world.time.millis() + TIMEOUT_MILLIS;
    world.oracle.requestSent(
        new Oracle.Exchange(exchange, node.name, key, body, idempotent, deadline));
    CallerRequest.Builder request =
        CallerRequest.newBuilder()
            .setExchange(exchange)
            .setCustomer("lanternhall")
            .setKeyDigest(KEY_DIGEST)
            .setService("litepay")
            .setIdempotent(idempotent)
            .setIdempotencyKey(idempotent ? "" : key)
            .setTimeoutMillis(TIMEOUT_MILLIS)
            .setBody(ByteString.copyFromUtf8(body));
    world.input(node, Input.newBuilder().setCallerRequest(request));
    return exchange;
  }

  /** Retries under the same key unless answered "done", sometimes before the answer arrives. */
  private void retryLater(long exchange, String key, int retries) {
    long wait = world.conditions.chance(0.2) ? RETRY_MILLIS : TIMEOUT_MILLIS + RETRY_MILLIS;
    world.time.after(
        wait,
        () -> {
          Oracle.Exchange sent = world.oracle.exchange(exchange);
          if (sent != null && sent.code != 0) {
            send(key, false, retries + 1);
          }
        });
  }
}
