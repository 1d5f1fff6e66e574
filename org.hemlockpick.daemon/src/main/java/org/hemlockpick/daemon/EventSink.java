package org.hemlockpick.daemon;

import org.hemlockpick.proto.Event;

/** Receives the events of the timeline in the order of their clocks. Must not block. */
@FunctionalInterface
public interface EventSink {
  /** Receives one event. */
  void accept(Event event);
}
