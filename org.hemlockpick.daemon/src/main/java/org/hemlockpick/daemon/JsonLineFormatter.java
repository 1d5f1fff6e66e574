package org.hemlockpick.daemon;

import org.hemlockpick.proto.Event;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.formatters.JsonFormatter;

/** Formats log records as JSON lines; adds the fields of time line entries and decisions. */
final class JsonLineFormatter extends JsonFormatter {

  @Override
  protected void after(Generator generator, ExtLogRecord entry) throws Exception {
    Object[] parameters = entry.getParameters();
    if (parameters != null
        && parameters.length == 1
        && parameters[0] instanceof TimelineLog.Entry line) {
      addEvent(generator, line.event());
    } else if (parameters != null
        && parameters.length == 1
        && parameters[0] instanceof DecisionLines.Line line) {
      addDecision(generator, line);
    }
  }

  private static void addDecision(Generator generator, DecisionLines.Line line) throws Exception {
    generator
        .add("instance", line.instance())
        .add("incarnation", line.incarnation())
        .add("token", line.token())
        .add("steadyMillis", line.steadyMillis())
        .add("wallMillis", line.wallMillis())
        .add("kind", line.kind())
        .add("subject", line.subject())
        .add("outcome", line.outcome())
        .add("reason", line.reason());
  }

  private static void addEvent(Generator generator, Event event) throws Exception {
    generator
        .add("instance", event.getInstance())
        .add("incarnation", event.getIncarnation())
        .add("clock", event.getClock())
        .add("atMillis", event.getAtMillis())
        .add("kind", event.getKind())
        .add("subject", event.getSubject())
        .add("detail", event.getDetail());
  }
}
