package org.hemlockpick.standin;

import java.time.InstantSource;
import org.hemlockpick.proto.Event;
import org.jboss.logging.Logger;

/** Writes the timeline of one stand-in and maintains its Lamport clock. Thread-safe. */
public final class Timeline {
  /** Name of the logger to which events are written, one JSON object per line. */
  public static final String LOGGER = "org.hemlockpick.timeline";

  private static final Logger log = Logger.getLogger(LOGGER);

  private final String instance;
  private final long incarnation;
  private final InstantSource time;
  private long clock;

  /**
   * Creates a timeline.
   *
   * @param instance name of the stand-in
   * @param time source of time; its current time becomes the incarnation
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

  /** Advances the Lamport clock past that of a received message. */
  synchronized void receive(long senderClock) {
    clock = Math.max(clock, senderClock) + 1;
  }

  /** Advances the Lamport clock and returns it, for a message to send. */
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
