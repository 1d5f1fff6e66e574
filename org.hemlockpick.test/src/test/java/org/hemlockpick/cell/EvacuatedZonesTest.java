package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hemlockpick.cell.evacuation.EvacuatedZones;
import org.hemlockpick.fakes.VirtualTime;
import org.junit.jupiter.api.Test;

/** Tests how long a reading of the requests to evacuate zones is relied on. */
class EvacuatedZonesTest {
  /** Age up to which a reading is relied on, in milliseconds. */
  private static final long MAX_AGE_MILLIS = Evacuations.BOUND_MILLIS - 1_500;

  /** Divergence of the clocks that counts as a suspension, in milliseconds. */
  private static final long SUSPENSION_MILLIS = 400;

  private final CellWorld world = new CellWorld(1, 1, 0);
  private final VirtualTime time = world.time;
  private final SettableClock clock = new SettableClock();
  private final List<String> changes = new ArrayList<>();
  private final EvacuatedZones zones =
      new EvacuatedZones(
          Evacuations.BOUND_MILLIS,
          world.store.view(),
          world.newSource(),
          clock,
          new RecordingListener());

  /** Guards against relying on what was never read, or is too old. */
  @Test
  void readingIsReliedOnUpToItsAge() {
    assertFalse(zones.mayStartIn("a"));
    read();
    assertTrue(zones.mayStartIn("a"));
    clock.monotonic = MAX_AGE_MILLIS;
    clock.wall = MAX_AGE_MILLIS;
    assertTrue(zones.mayStartIn("a"));
    clock.monotonic++;
    clock.wall++;
    assertFalse(zones.mayStartIn("a"));
  }

  /** Guards against an age that does not count the time of a suspension. */
  @Test
  void readingIsNotReliedOnAfterTheClocksHaveDiverged() {
    read();
    clock.wall = SUSPENSION_MILLIS - 1;
    assertTrue(zones.isFresh());
    clock.wall = SUSPENSION_MILLIS;
    assertFalse(zones.isFresh());
    clock.wall = -SUSPENSION_MILLIS;
    assertFalse(zones.isFresh());
  }

  /** Guards against a reading that was requested before a suspension and arrives after it. */
  @Test
  void readingInFlightDoesNotCountIfANewOneIsRequired() {
    zones.run();
    zones.requireRead();
    time.runFor(100);
    assertFalse(zones.isFresh());
    read();
    assertTrue(zones.isFresh());
  }

  /** Guards against zones that are missed as they are on a later page, or have odd rows. */
  @Test
  void allZonesAreReadWhateverTheirRowsSay() {
    for (int i = 0; i < 20; i++) {
      world.store.put("operator", "evacuate/z" + i, ByteString.copyFromUtf8("?" + i));
    }
    world.store.put("operator", "evacuated", ByteString.EMPTY);
    read();
    assertEquals(20, zones.zones().size());
    assertFalse(zones.mayStartIn("z19"));
    assertTrue(zones.mayStartIn("z20"));
    world.store.remove("operator", "evacuate/z19");
    clock.monotonic = 500;
    clock.wall = 500;
    read();
    assertTrue(zones.mayStartIn("z19"));
    assertEquals("z19 ended after 500", changes.get(changes.size() - 1));
    assertEquals(21, Set.copyOf(changes).size());
  }

  private void read() {
    zones.run();
    time.runFor(100);
  }

  private static final class SettableClock implements LoopClock {
    private long monotonic;
    private long wall;

    @Override
    public long monotonicMillis() {
      return monotonic;
    }

    @Override
    public long wallMillis() {
      return wall;
    }
  }

  private final class RecordingListener implements EvacuatedZones.Listener {
    @Override
    public void onRequested(String zone) {
      changes.add(zone);
    }

    @Override
    public void onEnded(String zone, long millis) {
      changes.add(zone + " ended after " + millis);
    }
  }
}
