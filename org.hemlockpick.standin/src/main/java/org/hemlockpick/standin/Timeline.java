package org.hemlockpick.standin;

import java.time.InstantSource;
import org.hemlockpick.proto.Event;
import org.jboss.logging.Logger;

/**
 * Writes the time line of one stand-in and keeps its Lamport clock; may be used from any thread.
 */
public final class Timeline {
  /** Name of the logger that takes the events, one JSON object a line. */
  public static final String LOGGER = "org.hemlockpick.timeline";

  private static final Logger log = Logger.getLogger(LOGGER);

  private final String instance;
  private final long incarnation;
  private final InstantSource time;
  private long clock;

  /**
   * Creates a time line.
   *
   * @param instance name of the stand-in
   * @param time source of time; its present time is the incarnation
   */
  public Timeline(String instance, InstantSource time) {
    this.instance = instance;
    this.time = time;
    this.incarnation = time.millis();
  }

  /** Returns the name of the stand-in. */
  public String instance() {
    return instance;
  }

  /** Takes the Lamport clock of a message that arrived. */
  synchronized void receive(long senderClock) {
    clock = Math.max(clock, senderClock) + 1;
  }

  /** Returns the Lamport clock for a message to be sent. */
  synchronized long next() {
    return ++clock;
  }

  /** Writes an event. */
  synchronized void write(String kind, String subject, String detail) {
    clock++;
    Event event =
        Event.newBuilder()
            .setInstance(instance)
            .setIncarnation(incarnation)
            .setClock(clock)
            .setAtMillis(time.millis())
            .setKind(kind)
            .setSubject(subject)
            .setDetail(detail)
            .build();
    log.info(MessageJson.print(event));
  }
}
