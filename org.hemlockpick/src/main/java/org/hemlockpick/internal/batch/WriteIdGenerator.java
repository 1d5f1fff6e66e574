package org.hemlockpick.internal.batch;

import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.lib.InstanceSettings;

/** Issues write ids; no two writes of any entry instance carry the same one. */
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
