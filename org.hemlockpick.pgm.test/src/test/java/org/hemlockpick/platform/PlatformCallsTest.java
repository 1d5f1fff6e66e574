package org.hemlockpick.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Collections.nCopies;
import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.Range;
import org.hemlockpick.cell.TableService.ReadResult;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.TableService.WatchOutcome;
import org.hemlockpick.cell.TableService.WatchResult;
import org.hemlockpick.cell.TaskId;
import org.hemlockpick.cell.Transaction;
import org.hemlockpick.cell.Transaction.Condition;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.cell.WorkerPort.CompletionKind;
import org.hemlockpick.cell.WorkerPort.HoldCall;
import org.hemlockpick.cell.WorkerPort.HoldReply;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;
import org.hemlockpick.cell.WorkerPort.OrderReply;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.hemlockpick.cell.WorkerPort.StartOrder;
import org.hemlockpick.cell.WorkerPort.Target;
import org.hemlockpick.transport.http.HttpTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the calls to the platform over real connections, against a server with set replies. */
class PlatformCallsTest {
  private static final long TIMEOUT = 2_000;

  /** Time in which every call has its answer, though the machine is busy. */
  private static final long TIMEOUT_MILLIS = 20_000;

  private static final RowName ROW = new RowName("jobs", "a/s");
  private static final Transaction INSERT =
      new Transaction(
          "c0",
          List.of(new Condition(ROW, 0)),
          List.of(new Write(ROW, ByteString.copyFromUtf8("v"))),
          List.of());
  private static final RunId RUN = new RunId(new TaskId("5c0e7a21d94b36f8", 0, 1, 17), 2);

  private final HttpTransport transport = new HttpTransport();
  private final HttpServer server;
  private volatile int status = 200;
  private volatile String answer = "{}";
  private volatile String path = "";
  private volatile String body = "";
  private volatile String expectedInstance = "";

  /** Prefix of the paths that get no reply; empty for none. */
  private volatile String unansweredPath = "";

  private volatile int callerPort;

  PlatformCallsTest() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
  }

  @BeforeEach
  void start() {
    server.createContext(
        "/",
        exchange -> {
          path = exchange.getRequestURI().toString();
          callerPort = exchange.getRemoteAddress().getPort();
          if (!unansweredPath.isEmpty() && path.startsWith(unansweredPath)) {
            return;
          }
          body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
          expectedInstance =
              String.valueOf(exchange.getRequestHeaders().getFirst("Expected-Instance"));
          byte[] bytes = answer.getBytes(UTF_8);
          exchange.getResponseHeaders().add("Content-Type", "application/json");
          exchange.sendResponseHeaders(status, bytes.length);
          try (var out = exchange.getResponseBody()) {
            out.write(bytes);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop(0);
    transport.close();
  }

  private String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private PlatformStoreClient store() {
    return new PlatformStoreClient(transport, address(), Runnable::run);
  }

  private PlatformWorkerClient workers() {
    return new PlatformWorkerClient(transport, Runnable::run);
  }

  private TransactionResult transact() {
    CompletableFuture<TransactionResult> result = new CompletableFuture<>();
    store().transact(INSERT, TIMEOUT, result::complete);
    return result.join();
  }

  @Test
  void transactionNamesConditionsAndValues() {
    answer = "{\"schema_version\":412,\"now_ms\":5}";
    TransactionResult result = transact();
    assertEquals(Outcome.COMMITTED, result.outcome());
    assertEquals(412, result.version());
    assertEquals("/v1/rows-tx", path);
    assertTrue(body.contains("\"expected_revision\":[{\"table\":\"jobs\",\"part\":\"c0\""), body);
    assertTrue(body.contains("\"schema_version\":0"), body);
    assertTrue(body.contains("\"value\":\"dg==\""), body);
  }

  @Test
  void conflictReturnsTheCurrentRows() {
    status = 412;
    answer =
        "{\"rows\":[{\"table\":\"jobs\",\"part\":\"c0\",\"key\":\"a/s\",\"value\":\"dg==\","
            + "\"schema_version\":9}]}";
    TransactionResult result = transact();
    assertEquals(Outcome.CONFLICT, result.outcome());
    assertEquals("v", result.current().get(0).value().toStringUtf8());
    assertEquals(9, result.current().get(0).version());
  }

  @Test
  void overloadMeansNotDoneAndInternalErrorMeansUnknown() {
    status = 503;
    assertEquals(Outcome.NOT_DONE, transact().outcome());
    status = 429;
    assertEquals(Outcome.NOT_DONE, transact().outcome());
    status = 500;
    assertEquals(Outcome.UNKNOWN, transact().outcome());
  }

  /** A transaction that is malformed or too large is refused at every attempt. */
  @Test
  void permanentRefusalIsReported() {
    status = 400;
    assertEquals(Outcome.REFUSED, transact().outcome());
    status = 413;
    assertEquals(Outcome.REFUSED, transact().outcome());
  }

  @Test
  void unreachableStoreMeansNotDone() {
    server.stop(0);
    assertEquals(Outcome.NOT_DONE, transact().outcome());
  }

  @Test
  void readEscapesItsRange() {
    answer = "{\"rows\":[],\"has_more\":true,\"schema_version\":3}";
    CompletableFuture<ReadResult> result = new CompletableFuture<>();
    store().read(new Range("jobs", "c0", "a/s\u0000", "a/~"), TIMEOUT, result::complete);
    assertTrue(result.join().isComplete());
    assertTrue(result.join().hasMore());
    assertEquals("/v1/rows-get?table=jobs&part=c0&start_key=a%2Fs%00&to=a%2F%7E", path);
  }

  @Test
  void lostHistoryIsReported() {
    status = 410;
    CompletableFuture<WatchResult> result = new CompletableFuture<>();
    store().watch("jobs", 7, 100, TIMEOUT, result::complete);
    assertEquals(WatchOutcome.HISTORY_LOST, result.join().outcome());
    assertEquals("/v1/rows-feed?table=jobs&depends_on=7&wait_ms=100", path);
  }

  /** Guards against a fault where one missing large reply made all small calls reconnect. */
  @Test
  void smallCallsKeepTheirConnectionWhenALargeOneFails() {
    answer = "{\"rows\":[],\"schema_version\":3}";
    PlatformStoreClient store = store();
    int before = portOfARead(store);
    unansweredPath = "/v1/rows-feed";
    CompletableFuture<WatchResult> watched = new CompletableFuture<>();
    store.watch("op", 7, 100, 200, watched::complete);
    assertEquals(WatchOutcome.FAILED, watched.join().outcome());
    assertEquals(before, portOfARead(store));
  }

  private int portOfARead(PlatformStoreClient store) {
    CompletableFuture<ReadResult> result = new CompletableFuture<>();
    store.read(new Range("cells", "c0", "a", "b"), TIMEOUT, result::complete);
    assertTrue(result.join().isComplete());
    return callerPort;
  }

  @Test
  void startNamesTheIntendedWorkerAndItsRefusalIsRead() {
    status = 409;
    answer = "{\"clock_ms\":482113,\"reason\":\"fence\"}";
    CompletableFuture<OrderReply> reply = new CompletableFuture<>();
    workers()
        .start(
            new Target("i-1", address()),
            new StartOrder(RUN, "s", 486_000, 7, "cp"),
            reply::complete);
    assertEquals(OrderOutcome.FENCED, reply.join().outcome());
    assertEquals(482_113, reply.join().clockMillis());
    assertEquals("i-1", expectedInstance);
    assertTrue(body.contains("\"task\":\"5c0e7a21d94b36f8.0.1.17\",\"attempt\":2"), body);
    assertTrue(body.contains("\"checkpoint\":\"cp\""), body);
  }

  @Test
  void otherBootIsReported() {
    status = 421;
    CompletableFuture<OrderReply> reply = new CompletableFuture<>();
    workers().stop(new Target("i-1", address()), RUN, 7, reply::complete);
    assertEquals(OrderOutcome.OTHER_BOOT, reply.join().outcome());
  }

  @Test
  void reportOfAWorkerIsRead() {
    answer =
        "{\"clock_ms\":9,\"born\":4,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"cp\",41,30]],"
            + "\"ended\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"],"
            + "[59,\"nonsense\",1,\"done\",\"\"]]}";
    CompletableFuture<HoldReply> reply = new CompletableFuture<>();
    workers().hold(new Target("i-1", address()), new HoldCall(7, 57, null, 0), reply::complete);
    HoldReply report = reply.join();
    assertEquals(OrderOutcome.ACCEPTED, report.outcome());
    assertEquals(4, report.bootTimeMillis());
    assertEquals(RUN, report.running().get(0).run());
    assertEquals(30, report.running().get(0).gauge());
    assertEquals(1, report.completions().size());
    assertEquals(CompletionKind.DONE, report.completions().get(0).kind());
    assertTrue(report.isComplete());
    assertFalse(body.contains("deadline_ms"), body);
  }

  /**
   * A worker reports at most 500 completions at a time, so that a run missing from a report of 500
   * may still have completed.
   */
  @Test
  void reportWithTheMaximumOfCompletionsIsIncomplete() {
    assertTrue(report(499).isComplete());
    assertFalse(report(500).isComplete());
  }

  private HoldReply report(int ends) {
    String end = "[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]";
    answer = "{\"running\":[],\"ended\":[" + String.join(",", nCopies(ends, end)) + "]}";
    CompletableFuture<HoldReply> reply = new CompletableFuture<>();
    workers().hold(new Target("i-1", address()), new HoldCall(7, 57, null, 0), reply::complete);
    return reply.join();
  }

  /** Guards against calls that throw, or that use up their endpoint, as their address is none. */
  @ParameterizedTest
  @ValueSource(strings = {"host 17", "a\nb:1", "127.0.0.1:70000", "127.0.0.1:0"})
  void callToAnAddressThatIsNoneIsAnswered(String none) {
    PlatformWorkerClient workers = workers();
    Target target = new Target("i-7f3a91c2", none);
    HoldCall call = new HoldCall(1, 0, null, 0);
    List<CompletableFuture<HoldReply>> replies = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      CompletableFuture<HoldReply> reply = new CompletableFuture<>();
      workers.hold(target, call, reply::complete);
      replies.add(reply);
    }
    for (CompletableFuture<HoldReply> reply : replies) {
      OrderOutcome outcome = reply.orTimeout(TIMEOUT_MILLIS, MILLISECONDS).join().outcome();
      assertTrue(outcome == OrderOutcome.NOT_SENT || outcome == OrderOutcome.LOST, "" + outcome);
    }
  }
}
