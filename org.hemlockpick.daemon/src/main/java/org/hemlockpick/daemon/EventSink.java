package org.hemlockpick.daemon;

import org.hemlockpick.proto.Event;

/** Takes the entries of the time line, in the order of their clocks. Must not block. */
@FunctionalInterface
public interface EventSink {
  /** Takes one entry. */
  void accept(Event event);
}
