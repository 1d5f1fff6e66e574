package org.hemlockpick.transport.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hemlockpick.proto.ConfigPull;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.transport.Eventually;
import org.hemlockpick.transport.TcpRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerLinkTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private final List<AutoCloseable> open = new ArrayList<>();

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable closeable : open) {
      closeable.close();
    }
  }

  @Test
  void twoLinksExchangeMessages() throws IOException {
    Node a = node("a", 0);
    Node b = node("b", 0);
    a.link.setPeers(Map.of("b", b.address()));
    b.link.setPeers(Map.of("a", a.address()));

    sendUntilReceived(a, b, 1);
    sendUntilReceived(b, a, 2);

    assertEquals("a", b.received.get(0).getFrom());
    assertTrue(b.link.counters().bytesIn() > 0);
    assertTrue(a.link.counters().bytesOut() > 0);
  }

  @Test
  void threeLinksReachEachOther() throws IOException {
    List<Node> nodes = List.of(node("a", 0), node("b", 0), node("c", 0));
    Map<String, InetSocketAddress> peers =
        Map.of(
            "a", nodes.get(0).address(), "b", nodes.get(1).address(), "c", nodes.get(2).address());
    nodes.forEach(node -> node.link.setPeers(peers));

    int number = 0;
    for (Node from : nodes) {
      for (Node to : nodes) {
        if (from != to) {
          sendUntilReceived(from, to, ++number);
        }
      }
    }
  }

  @Test
  void messagesOnOneConnectionArriveInOrderAndOnce() throws IOException {
    Node a = node("a", 0);
    Node b = node("b", 0);
    a.link.setPeers(Map.of("b", b.address()));
    sendUntilReceived(a, b, 1);

    for (int i = 0; i < 1_000; i++) {
      a.link.send(message("a", "b", 10_000 + i));
    }
    // Messages sent earlier may still be in flight.
    Eventually.holds(() -> numbersFrom(b, 10_000).size() >= 1_000, () -> "1000 messages");

    List<Long> numbers = numbersFrom(b, 10_000);
    for (int i = 0; i < 1_000; i++) {
      assertEquals(10_000 + i, numbers.get(i));
    }
    assertEquals(1_000, numbers.size());
  }

  private static List<Long> numbersFrom(Node node, long min) {
    return node.received.stream()
        .map(message -> message.getConfigPull().getKnownVersion())
        .filter(number -> number >= min)
        .toList();
  }

  @Test
  void aRestartedPeerIsReconnected() throws Exception {
    Node a = node("a", 0);
    Node b = node("b", 0);
    a.link.setPeers(Map.of("b", b.address()));
    sendUntilReceived(a, b, 1);

    int port = b.link.port();
    b.link.close();
    Node restarted = node("b", port);

    sendUntilReceived(a, restarted, 2);
    assertTrue(a.link.counters().reconnects() >= 1);
  }

  @Test
  void aMessageToAnUnknownPeerIsDroppedAndCounted() throws IOException {
    Node a = node("a", 0);

    a.link.send(message("a", "b", 1));

    assertEquals(1, a.link.counters().dropped());
  }

  @Test
  void aSilentConnectionIsReplaced() throws Exception {
    Node a = node("a", 0);
    Node b = node("b", 0);
    TcpRelay relay = new TcpRelay(b.link.port());
    open.add(relay);
    a.link.setPeers(Map.of("b", relay.address()));
    sendUntilReceived(a, b, 1);
    assertEquals(1, relay.accepted());

    relay.stall();

    sendUntilReceived(a, b, 2);
    assertEquals(2, relay.accepted());
    assertTrue(a.link.counters().silences() >= 1);
  }

  @Test
  void anIdleConnectionStaysOpen() throws Exception {
    Node a = node("a", 0);
    Node b = node("b", 0);
    TcpRelay relay = new TcpRelay(b.link.port());
    open.add(relay);
    a.link.setPeers(Map.of("b", relay.address()));
    sendUntilReceived(a, b, 1);
    long bytesBefore = b.link.counters().bytesOut();

    // An answered ping is four bytes; five pings take longer than the limit on silence.
    Eventually.holds(() -> b.link.counters().bytesOut() >= bytesBefore + 20, () -> "five pings");

    assertEquals(1, relay.accepted());
  }

  @Test
  void anOversizedFrameClosesOnlyItsConnection() throws IOException {
    Node a = node("a", 0);
    Node b = node("b", 0);
    a.link.setPeers(Map.of("b", b.address()));
    sendUntilReceived(a, b, 1);

    try (Socket socket = new Socket(LOOPBACK, b.link.port())) {
      new DataOutputStream(socket.getOutputStream()).writeInt(PeerLink.MAX_FRAME_BYTES + 1);
      assertEquals(-1, socket.getInputStream().read());
    }

    assertEquals(1, b.link.counters().badFrames());
    sendUntilReceived(a, b, 2);
    assertEquals(0, a.link.counters().reconnects());
  }

  @Test
  void anInvalidFrameClosesOnlyItsConnection() throws IOException {
    Node a = node("a", 0);
    Node b = node("b", 0);
    a.link.setPeers(Map.of("b", b.address()));
    sendUntilReceived(a, b, 1);

    try (Socket socket = new Socket(LOOPBACK, b.link.port())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(3);
      out.write(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff});
      assertEquals(-1, socket.getInputStream().read());
    }

    assertEquals(1, b.link.counters().badFrames());
    sendUntilReceived(a, b, 2);
    assertEquals(0, a.link.counters().reconnects());
  }

  @Test
  void aMessageForAnotherRecipientIsNotDelivered() throws IOException {
    Node a = node("a", 0);
    Node b = node("b", 0);
    a.link.setPeers(Map.of("c", b.address()));

    Eventually.holds(
        () -> {
          a.link.send(message("a", "c", 1));
          return b.link.counters().badFrames() > 0;
        },
        () -> "the message arrives");

    assertEquals(0, b.link.counters().received());
    assertTrue(b.received.isEmpty());
  }

  @Test
  void aPeerIsReachedAtItsNewAddress() throws IOException {
    Node a = node("a", 0);
    Node old = node("b", 0);
    Node moved = node("b", 0);
    a.link.setPeers(Map.of("b", old.address()));
    sendUntilReceived(a, old, 1);

    a.link.setPeers(Map.of("b", moved.address()));

    sendUntilReceived(a, moved, 2);
  }

  private Node node(String name, int port) throws IOException {
    Node node = new Node(name, port);
    node.link.start();
    open.add(node.link);
    return node;
  }

  private static void sendUntilReceived(Node from, Node to, long number) {
    Eventually.holds(
        () -> {
          from.link.send(message(from.name, to.name, number));
          return to.has(number);
        },
        () -> from.name + " reaches " + to.name);
  }

  private static PeerMessage message(String from, String to, long number) {
    return PeerMessage.newBuilder()
        .setFrom(from)
        .setTo(to)
        .setConfigPull(ConfigPull.newBuilder().setKnownVersion(number))
        .build();
  }

  private static final class Node {
    final String name;
    final List<PeerMessage> received = new CopyOnWriteArrayList<>();
    final PeerLink link;

    Node(String name, int port) {
      this.name = name;
      this.link =
          new PeerLink(name, new InetSocketAddress(LOOPBACK, port), Map.of(), received::add);
    }

    InetSocketAddress address() {
      return new InetSocketAddress(LOOPBACK, link.port());
    }

    boolean has(long number) {
      return received.stream()
          .anyMatch(message -> message.getConfigPull().getKnownVersion() == number);
    }
  }
}
