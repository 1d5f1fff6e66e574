package org.hemlockpick.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.BlobGet;
import org.hemlockpick.proto.BlobPut;
import org.hemlockpick.proto.BlobReply;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.RowRead;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.proto.Transaction;
import org.hemlockpick.standin.Faults;
import org.hemlockpick.standin.ObjectStoreStandIn;
import org.hemlockpick.standin.StandInServer;
import org.hemlockpick.standin.TableServiceStandIn;
import org.hemlockpick.transport.Eventually;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TableServiceClientTest {
  private static final String TABLE = "/table";
  private static final String OBJECTS = "/objects";
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

  private final List<Input> inputs = new CopyOnWriteArrayList<>();
  private final HttpTransport transport = new HttpTransport();
  private final StandInServer server = new StandInServer("127.0.0.1", 0);
  private final TableServiceClient client =
      new TableServiceClient(transport, server.address(TABLE), LONG_TIMEOUT, inputs::add);
  private final TableServiceClient shortTimeoutClient =
      new TableServiceClient(transport, server.address(TABLE), SHORT_TIMEOUT, inputs::add);
  private long lastCall;

  @BeforeEach
  void mount() {
    server.mount(TABLE, new TableServiceStandIn("table", InstantSource.system()));
    server.mount(OBJECTS, new ObjectStoreStandIn("objects", InstantSource.system()));
  }

  @AfterEach
  void closeAll() {
    transport.close();
    server.close();
  }

  @Test
  void aTransactionIsAppliedAndReadBack() {
    assertEquals(StoreStatus.STORE_OK, call(client, write("k", 0)).getStatus());

    StoreReply read = call(client, read("k"));

    assertEquals("value", read.getRows(0).getValue().toStringUtf8());
  }

  @Test
  void aConflictReturnsTheCurrentRows() {
    call(client, write("k", 0));

    StoreReply reply = call(client, write("k", 0));

    assertEquals(StoreStatus.STORE_CONFLICT, reply.getStatus());
    assertEquals(1, reply.getRowsCount());
  }

  @Test
  void aServiceThatIsDownLeavesTheOutcomeUnknown() {
    server.setFaults(TABLE, new Faults(true, 0, false, false, false));

    assertEquals(StoreStatus.STORE_UNKNOWN, call(client, write("k", 0)).getStatus());

    server.setFaults(TABLE, Faults.none());
    assertEquals(0, call(client, read("k")).getRowsCount());
  }

  @Test
  void aLostAnswerLeavesTheOutcomeUnknownAlthoughTheWriteWasApplied() {
    server.setFaults(TABLE, new Faults(false, 0, true, false, false));

    assertEquals(StoreStatus.STORE_UNKNOWN, call(client, write("k", 0)).getStatus());

    server.setFaults(TABLE, Faults.none());
    StoreReply read = call(client, read("k"));
    assertEquals(1, read.getRowsCount());
    assertEquals(1, read.getRows(0).getVersion(), "the write was sent once");
  }

  @Test
  void anUnresponsiveServiceLeavesTheOutcomeUnknownAtTheTimeout() {
    server.setFaults(TABLE, new Faults(false, 0, false, true, false));

    assertEquals(StoreStatus.STORE_UNKNOWN, call(shortTimeoutClient, write("k", 0)).getStatus());
  }

  @Test
  void anAnswerAfterTheTimeoutIsDiscarded() {
    server.setFaults(TABLE, new Faults(false, 600, false, false, false));

    StoreCall late = write("k", 0);
    assertEquals(StoreStatus.STORE_UNKNOWN, call(shortTimeoutClient, late).getStatus());

    Eventually.holds(() -> call(client, read("k")).getRowsCount() == 1, () -> "the late write");
    assertEquals(1, replies(late).size());
  }

  @Test
  void unresponsiveConnectionsAreReplacedAfterATimeout() {
    assertEquals(StoreStatus.STORE_OK, call(shortTimeoutClient, read("k")).getStatus());
    server.setFaults(TABLE, new Faults(false, 0, false, false, true));

    assertEquals(StoreStatus.STORE_UNKNOWN, call(shortTimeoutClient, read("k")).getStatus());

    Eventually.holds(
        () -> call(shortTimeoutClient, read("k")).getStatus() == StoreStatus.STORE_OK,
        () -> "an answer on a new connection");
  }

  @Test
  void anObjectIsPutAndFetched() {
    ObjectStoreClient objects =
        new ObjectStoreClient(transport, server.address(OBJECTS), LONG_TIMEOUT, inputs::add);
    BlobPut put =
        BlobPut.newBuilder().setKey("a").setValue(ByteString.copyFromUtf8("payload")).build();

    assertTrue(call(objects, BlobCall.newBuilder().setPut(put)).getOk());
    BlobGet get = BlobGet.newBuilder().setKey("a").build();
    BlobReply reply = call(objects, BlobCall.newBuilder().setGet(get));
    assertEquals("payload", reply.getValue().toStringUtf8());

    server.setFaults(OBJECTS, new Faults(true, 0, false, false, false));
    assertFalse(call(objects, BlobCall.newBuilder().setGet(get)).getOk());
  }

  private StoreReply call(TableServiceClient used, StoreCall call) {
    used.call(call, 100);
    Eventually.holds(() -> !replies(call).isEmpty(), () -> "a reply to " + call);
    return replies(call).get(0);
  }

  private BlobReply call(ObjectStoreClient used, BlobCall.Builder call) {
    long id = ++lastCall;
    used.call(call.setCallId(id).build(), 100);
    Eventually.holds(() -> !blobReplies(id).isEmpty(), () -> "a reply to " + call);
    return blobReplies(id).get(0);
  }

  private List<StoreReply> replies(StoreCall call) {
    return inputs.stream()
        .filter(Input::hasStoreReply)
        .map(Input::getStoreReply)
        .filter(reply -> reply.getCallId() == call.getCallId())
        .toList();
  }

  private List<BlobReply> blobReplies(long id) {
    return inputs.stream()
        .filter(Input::hasBlobReply)
        .map(Input::getBlobReply)
        .filter(reply -> reply.getCallId() == id)
        .toList();
  }

  private StoreCall write(String key, long expectedVersion) {
    RowWrite write =
        RowWrite.newBuilder()
            .setTable("t")
            .setKey(key)
            .setExpectedVersion(expectedVersion)
            .setValue(ByteString.copyFromUtf8("value"))
            .build();
    return StoreCall.newBuilder()
        .setCallId(++lastCall)
        .setTransaction(Transaction.newBuilder().addWrites(write))
        .build();
  }

  private StoreCall read(String key) {
    return StoreCall.newBuilder()
        .setCallId(++lastCall)
        .setRead(RowRead.newBuilder().setTable("t").setKey(key))
        .build();
  }
}
