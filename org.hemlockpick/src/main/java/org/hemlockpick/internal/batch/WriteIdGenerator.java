package org.hemlockpick.internal.batch;

import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.lib.InstanceSettings;

/** Generates write ids that are unique over all entry instances. */
final class WriteIdGenerator {
  private final String prefix;
  private long last;

  WriteIdGenerator(InstanceSettings settings, Outbox outbox) {
    prefix = settings.name() + "/" + outbox.incarnation() + "/";
  }

  String next() {
    return prefix + ++last;
  }
}
