package org.hemlockpick.daemon;

import org.hemlockpick.proto.Event;
import org.jboss.logging.Logger;

/** Writes the timeline to the log, one JSON object for each event. */
final class TimelineLog implements EventSink {
  static final String LOGGER_NAME = "org.hemlockpick.timeline";

  private static final Logger log = Logger.getLogger(LOGGER_NAME);

  @Override
  public void accept(Event event) {
    log.infov("{0}", new Line(event));
  }

  /** An event with a short text; the formatter writes its fields. */
  record Line(Event event) {
    @Override
    public String toString() {
      return event.getKind() + " " + event.getSubject() + " " + event.getDetail();
    }
  }
}
