package org.hemlockpick.internal.evacuation;

import java.util.Collection;
import org.hemlockpick.proto.EvacuationChange;

/** Message texts about evacuations for operators. */
final class Messages {
  static final String BAD_OPERATOR = "the name of the operator is missing or too long";
  static final String QUEUE_FULL = "too many changes wait at this entry instance";
  static final String NOT_WRITTEN = "the table service does not answer; nothing was written";
  static final String MAYBE_WRITTEN =
      "the table service does not answer; repeat the change to make sure of it";
  static final String NOT_READ = "the table service has not given the evacuations yet";

  private Messages() {}

  static String done(EvacuationChange change) {
    return change.getZone() + (change.getEnd() ? " is not evacuated" : " is evacuated");
  }

  static String unknownZone(String zone, Collection<String> zones) {
    return "no entry instance is in zone " + zone + "; zones are " + String.join(", ", zones);
  }
}
