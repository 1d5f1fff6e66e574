package org.hemlockpick.daemon.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which connection is closed when there are too many. */
class ConnectionTableTest {
  private final ConnectionTable table = new ConnectionTable(2);
  private final List<String> closed = new ArrayList<>();

  private ConnectionTable.Entry add(String name, long nowMillis) {
    ConnectionTable.Entry entry = new ConnectionTable.Entry(nowMillis, () -> closed.add(name));
    table.add(entry);
    return entry;
  }

  @Test
  void oldestIdleConnectionIsClosedFirst() {
    add("first", 1).enter(Phase.HEAD, 2);
    add("second", 4);
    add("third", 3);
    assertEquals(List.of("second"), closed);
    assertEquals(2, table.size());
  }

  @Test
  void oldestIncompleteRequestIsClosedIfNoneIsIdle() {
    add("first", 1).enter(Phase.BODY, 5);
    add("second", 2).enter(Phase.HEAD, 4);
    add("third", 6);
    assertEquals(List.of("second"), closed);
  }

  /** Guards against closing a connection whose request may have been accepted. */
  @Test
  void newConnectionIsClosedIfAllAreServed() {
    add("first", 1).enter(Phase.SERVING, 2);
    add("second", 2).enter(Phase.RESPONSE, 3);
    add("third", 4);
    assertEquals(List.of("third"), closed);
    assertEquals(2, table.size());
  }

  /** Guards against a burst that takes the descriptors of the store and of the workers. */
  @Test
  void burstIsLimitedAsItIsAccepted() {
    AcceptLimit accepted = new AcceptLimit(2);
    assertTrue(accepted.tryOpen());
    assertTrue(accepted.tryOpen());
    assertFalse(accepted.tryOpen());
    accepted.onClosed();
    assertTrue(accepted.tryOpen());
    assertFalse(accepted.tryOpen());
  }

  @Test
  void descriptorsAreKeptForOthers() {
    assertEquals(3_844, DescriptorLimit.forCallers(4_100));
    assertEquals(150, DescriptorLimit.forCallers(300));
  }

  @Test
  void closedConnectionMakesRoom() {
    ConnectionTable.Entry first = add("first", 1);
    add("second", 2);
    table.remove(first);
    add("third", 3);
    assertEquals(List.of(), closed);
  }
}
