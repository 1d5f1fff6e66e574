package org.hemlockpick.internal.batch;

import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Takes the worker with most free processors. Prefers workers on which the task has not failed and
 * those that can start it at once.
 */
final class MostFreePlacement implements PlacementPolicy {

  @Override
  public @Nullable Room choose(Task task, Amounts need, List<Room> rooms) {
    Predicate<Room> untried = room -> !task.wanted.getFailedOnList().contains(room.worker.name());
    Room now = mostFree(rooms, untried.and(room -> room.fitsNow(need)));
    if (now != null) {
      return now;
    }
    Room ahead = mostFree(rooms, untried.and(room -> room.fitsAhead(need)));
    if (ahead != null || rooms.stream().anyMatch(untried)) {
      return ahead;
    }
    return mostFree(rooms, room -> room.fitsNow(need));
  }

  private static @Nullable Room mostFree(List<Room> rooms, Predicate<Room> allowed) {
    return rooms.stream()
        .filter(allowed)
        .max(Comparator.comparingLong(Room::freeCpuMillis).thenComparing(Room::aheadCpuMillis))
        .orElse(null);
  }
}
