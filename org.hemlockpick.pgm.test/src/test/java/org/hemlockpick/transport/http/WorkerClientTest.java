package org.hemlockpick.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hemlockpick.proto.CallFate;
import org.hemlockpick.proto.Capacity;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.LeaseCall;
import org.hemlockpick.proto.RequestCall;
import org.hemlockpick.proto.RequestResult;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;
import org.hemlockpick.standin.Faults;
import org.hemlockpick.standin.StandInServer;
import org.hemlockpick.standin.WorkerSettings;
import org.hemlockpick.standin.WorkerStandIn;
import org.hemlockpick.transport.Eventually;
import org.hemlockpick.transport.TcpRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WorkerClientTest {
  private static final String PREFIX = "/w1";
  private static final int LONG_TIMEOUT_MILLIS = 20_000;

  private final List<Input> inputs = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
  private final HttpTransport transport = new HttpTransport();
  private final WorkerClient client = new WorkerClient(transport, inputs::add);
  private final StandInServer server = new StandInServer("127.0.0.1", 0);
  private final WorkerStandIn worker =
      new WorkerStandIn(
          new WorkerSettings(
              "w1",
              Capacity.newBuilder().setSlots(8).build(),
              Duration.ZERO,
              Duration.ofSeconds(1),
              Duration.ofSeconds(1)),
          InstantSource.system(),
          executor,
          key -> CompletableFuture.completedFuture(ByteString.EMPTY));
  private long lastCall;

  @BeforeEach
  void mount() {
    server.mount(PREFIX, worker);
  }

  @AfterEach
  void closeAll() {
    transport.close();
    server.close();
    worker.close();
    executor.shutdownNow();
  }

  @Test
  void aLeaseIsAnsweredWithTheWorkersClock() {
    Input input = call(lease(server.address(PREFIX), LONG_TIMEOUT_MILLIS));

    assertEquals(CallFate.ANSWERED, input.getWorkerReply().getFate());
    assertTrue(input.getWorkerReply().getLease().getGranted());
    assertTrue(input.getClock() > 100);
  }

  @Test
  void aRequestIsAnsweredWithItsBodyAndSequence() {
    long epoch = acquire();

    WorkerReply reply = call(request(epoch, 7, "{\"top-up\":7}")).getWorkerReply();

    assertEquals(RequestResult.REQUEST_DONE, reply.getRequest().getResult());
    assertEquals(7, reply.getRequest().getSequence());
    assertTrue(reply.getRequest().getBody().toStringUtf8().contains("top-up"));
  }

  @Test
  void aRefusedConnectionMeansNotSent() throws IOException {
    int unused;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      unused = socket.getLocalPort();
    }

    Input input = call(lease("127.0.0.1:" + unused, LONG_TIMEOUT_MILLIS));

    assertEquals(CallFate.NOT_SENT, input.getWorkerReply().getFate());
  }

  @Test
  void aTruncatedAnswerMeansLost() throws IOException {
    try (TcpRelay relay = new TcpRelay(server.port())) {
      relay.truncateAnswersAfter(150);

      Input input = call(lease(address(relay), LONG_TIMEOUT_MILLIS));

      assertEquals(CallFate.LOST, input.getWorkerReply().getFate());
      assertEquals(1, relay.accepted());
    }
  }

  @Test
  void aLostAnswerMeansLostAlthoughTheCallTookEffect() {
    long epoch = acquire();
    server.setFaults(PREFIX, new Faults(false, 0, true, false, false));

    assertEquals(CallFate.LOST, call(request(epoch, 1, "{}")).getWorkerReply().getFate());

    server.setFaults(PREFIX, Faults.none());
    RequestResult again = call(request(epoch, 1, "{}")).getWorkerReply().getRequest().getResult();
    assertEquals(RequestResult.REQUEST_RESULT_UNSPECIFIED, again);
  }

  @Test
  void aFailingWorkerMeansLost() {
    server.setFaults(PREFIX, new Faults(true, 0, false, false, false));

    Input input = call(lease(server.address(PREFIX), LONG_TIMEOUT_MILLIS));

    assertEquals(CallFate.LOST, input.getWorkerReply().getFate());
  }

  @Test
  void anUnresponsiveWorkerMeansLostAtTheTimeout() {
    server.setFaults(PREFIX, new Faults(false, 0, false, true, false));

    Input input = call(lease(server.address(PREFIX), 200));

    assertEquals(CallFate.LOST, input.getWorkerReply().getFate());
  }

  @Test
  void aResetReplacesAnUnresponsiveConnection() throws IOException {
    try (TcpRelay relay = new TcpRelay(server.port())) {
      assertEquals(CallFate.ANSWERED, fate(lease(address(relay), LONG_TIMEOUT_MILLIS)));
      assertEquals(CallFate.ANSWERED, fate(lease(address(relay), LONG_TIMEOUT_MILLIS)));
      assertEquals(1, relay.accepted());

      relay.stall();
      client.resetConnections("w1");

      assertEquals(CallFate.ANSWERED, fate(lease(address(relay), LONG_TIMEOUT_MILLIS)));
      assertEquals(2, relay.accepted());
    }
  }

  @Test
  void aCallCanRequireAFreshConnection() throws IOException {
    try (TcpRelay relay = new TcpRelay(server.port())) {
      assertEquals(CallFate.ANSWERED, fate(lease(address(relay), LONG_TIMEOUT_MILLIS)));
      relay.stall();

      WorkerCall fresh =
          lease(address(relay), LONG_TIMEOUT_MILLIS).toBuilder().setFreshConnection(true).build();

      assertEquals(CallFate.ANSWERED, fate(fresh));
      assertEquals(2, relay.accepted());
    }
  }

  @Test
  void aTimedOutCallLeavesNoUnresponsiveConnectionBehind() throws IOException {
    try (TcpRelay relay = new TcpRelay(server.port())) {
      assertEquals(CallFate.ANSWERED, fate(lease(address(relay), LONG_TIMEOUT_MILLIS)));
      relay.stall();

      assertEquals(CallFate.LOST, fate(lease(address(relay), 200)));

      assertEquals(CallFate.ANSWERED, fate(lease(address(relay), LONG_TIMEOUT_MILLIS)));
    }
  }

  @Test
  void aResetCutsOffNoCallInFlight() throws IOException {
    long epoch = acquire();
    WorkerCall slow = request(epoch, 1, "{\"sleepMillis\":300}");
    client.call(slow, 100);
    Eventually.holds(() -> !runningRequests(epoch).isEmpty(), () -> "the request runs");

    client.resetConnections("w1");

    assertEquals(CallFate.ANSWERED, reply(slow).getWorkerReply().getFate());
  }

  @Test
  void callsBeyondTheConnectionLimitAreNotSent() throws IOException {
    server.setFaults(PREFIX, new Faults(false, 0, false, true, false));
    for (int i = 0; i < 56; i++) {
      client.call(lease(server.address(PREFIX), LONG_TIMEOUT_MILLIS), 1);
    }

    assertEquals(CallFate.NOT_SENT, fate(lease(server.address(PREFIX), LONG_TIMEOUT_MILLIS)));
  }

  /** Renews the lease: with a new one, a request in flight would be refused for its epoch. */
  private List<?> runningRequests(long epoch) {
    WorkerCall.Builder renewal = lease(server.address(PREFIX), LONG_TIMEOUT_MILLIS).toBuilder();
    renewal.getLeaseBuilder().setEpoch(epoch);
    return call(renewal.build()).getWorkerReply().getLease().getRunningRequestsList();
  }

  private long acquire() {
    return call(lease(server.address(PREFIX), LONG_TIMEOUT_MILLIS))
        .getWorkerReply()
        .getLease()
        .getEpoch();
  }

  private CallFate fate(WorkerCall call) {
    return call(call).getWorkerReply().getFate();
  }

  private Input call(WorkerCall call) {
    client.call(call, 100);
    return reply(call);
  }

  private Input reply(WorkerCall call) {
    Eventually.holds(() -> !replies(call).isEmpty(), () -> "a reply to " + call);
    assertEquals(1, replies(call).size());
    return replies(call).get(0);
  }

  private List<Input> replies(WorkerCall call) {
    return inputs.stream()
        .filter(input -> input.getWorkerReply().getCallId() == call.getCallId())
        .toList();
  }

  private WorkerCall lease(String address, int timeoutMillis) {
    return WorkerCall.newBuilder()
        .setCallId(++lastCall)
        .setWorker("w1")
        .setAddress(address)
        .setTimeoutMillis(timeoutMillis)
        .setLease(LeaseCall.newBuilder().setOwner("e1").setIncarnation(1).setTtlMillis(60_000))
        .build();
  }

  private WorkerCall request(long epoch, long sequence, String body) {
    return WorkerCall.newBuilder()
        .setCallId(++lastCall)
        .setWorker("w1")
        .setAddress(server.address(PREFIX))
        .setTimeoutMillis(LONG_TIMEOUT_MILLIS)
        .setRequest(
            RequestCall.newBuilder()
                .setEpoch(epoch)
                .setSequence(sequence)
                .setBody(ByteString.copyFromUtf8(body)))
        .build();
  }

  private static String address(TcpRelay relay) {
    return "127.0.0.1:" + relay.address().getPort() + PREFIX;
  }
}
