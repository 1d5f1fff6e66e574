package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the times of the end of a process, in virtual time. */
class PlannedEndTest {
  private static final long START = 10_000;
  private static final long ROUTED_MILLIS = 3_000;
  private static final long LIMIT_MILLIS = 5_300;

  private final CallerDrain drain = new CallerDrain(port -> true);
  private final PlannedEnd end = PlannedEnd.begin(drain, START, ROUTED_MILLIS, LIMIT_MILLIS);

  private void openConnectionWithPartOfARequest() {
    EmbeddedChannel channel = new EmbeddedChannel(new HttpServerCodec());
    CallerConnection.track(drain, channel);
    boolean unused =
        channel.writeInbound(Unpooled.copiedBuffer("POST /x", StandardCharsets.US_ASCII));
  }

  @Test
  void connectionsAreAcceptedWhileCallersMayBeRoutedHere() {
    assertTrue(drain.isAnnouncing());
    assertFalse(end.tick(START + ROUTED_MILLIS - 1, true));
    assertFalse(drain.isClosing());
    assertTrue(end.tick(START + ROUTED_MILLIS, true));
    assertTrue(drain.isClosing());
  }

  @Test
  void processWaitsForWhatElseItHasToComplete() {
    assertFalse(end.tick(START + ROUTED_MILLIS, false));
    assertTrue(end.tick(START + ROUTED_MILLIS + 1, true));
  }

  @Test
  void requestWithoutAnswerHoldsTheProcessUpToItsTimeLimitOnly() {
    openConnectionWithPartOfARequest();
    assertFalse(end.tick(START + ROUTED_MILLIS, true));
    assertFalse(end.tick(START + LIMIT_MILLIS - 1, true));
    assertTrue(end.tick(START + LIMIT_MILLIS, true));
  }

  /** Guards against connections that are accepted until a process with little time is killed. */
  @Test
  void shortTimeLimitLeavesTimeForTheLastAnswers() {
    PlannedEnd soon = PlannedEnd.begin(drain, START, ROUTED_MILLIS, 300);
    assertTrue(soon.tick(START, true));
    assertTrue(drain.isClosing());
  }
}
