package org.hemlockpick.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.proto.CallFate;
import org.junit.jupiter.api.Test;

class CallFailureLogTest {
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final HttpCall CALL = HttpCall.get("/v1/rows-get?part=c0", TIMEOUT_MILLIS);

  private final List<String> lines = new CopyOnWriteArrayList<>();
  private long now;

  private void decided(String kind, String subject, String outcome, String reason) {
    lines.add(kind + " " + subject + " " + outcome + " (" + reason + ")");
  }

  @Test
  void failuresOfOneAddressAreLoggedOncePerSecond() {
    CallFailureLog failures = new CallFailureLog(this::decided, () -> now);
    for (int i = 0; i < 25; i++) {
      failures.onFailed("w1:1", CALL, CallFate.NOT_SENT, "no route");
      now += 100;
    }
    failures.onFailed("w2:1", CALL, CallFate.LOST, "no answer");
    assertEquals(
        List.of(
            "call w1:1 NOT_SENT (GET /v1/rows-get: no route)",
            "call w1:1 NOT_SENT (GET /v1/rows-get: no route, 9 more since last told)",
            "call w1:1 NOT_SENT (GET /v1/rows-get: no route, 9 more since last told)",
            "call w2:1 LOST (GET /v1/rows-get: no answer)"),
        lines);
  }

  @Test
  void refusedConnectionIsLoggedWithItsReason() throws IOException {
    String address;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = "127.0.0.1:" + free.getLocalPort();
    }
    try (HttpTransport transport = new HttpTransport(this::decided, () -> now)) {
      CompletableFuture<HttpResult> answer = new CompletableFuture<>();
      new HttpEndpoint(transport, address, 4).send(CALL, answer::complete);
      HttpResult got = answer.orTimeout(TIMEOUT_MILLIS * 2, TimeUnit.MILLISECONDS).join();
      assertEquals(CallFate.NOT_SENT, got.fate());
    }
    assertEquals(1, lines.size(), lines::toString);
    String start = "call " + address + " NOT_SENT (GET /v1/rows-get: ";
    assertTrue(lines.get(0).startsWith(start), lines::toString);
    assertTrue(lines.get(0).contains("refused"), lines::toString);
  }
}
