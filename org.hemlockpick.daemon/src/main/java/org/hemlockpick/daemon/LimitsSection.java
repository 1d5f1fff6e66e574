package org.hemlockpick.daemon;

import java.time.Duration;
import org.hemlockpick.daemon.admission.AdmissionSettings;

/** Reads the limits on callers, which may only be lowered. */
final class LimitsSection {
  private static final String NAME = "limits";
  private static final int MIN_BODY_BYTES = 1_024;
  private static final int MIN_HEADER_BYTES = 256;
  private static final Duration MIN_TIMEOUT = Duration.ofMillis(10);
  private static final Duration MAX_TIMEOUT = Duration.ofHours(1);

  private LimitsSection() {}

  static AdmissionSettings read(SettingsDocument document) {
    SettingsSection section = document.get(NAME);
    AdmissionSettings unset = AdmissionSettings.DEFAULT;
    AdmissionSettings settings =
        new AdmissionSettings(
            section.count(
                "body-bytes-in-flight", unset.bodyBytesInFlight(), MIN_BODY_BYTES, Long.MAX_VALUE),
            (int) section.count("connections", unset.connections(), 1, Integer.MAX_VALUE),
            (int)
                section.count(
                    "header-bytes", unset.headerBytes(), MIN_HEADER_BYTES, Integer.MAX_VALUE),
            timeout(section, "header-timeout", unset.headerTimeoutMillis()),
            timeout(section, "idle-timeout", unset.idleTimeoutMillis()),
            timeout(section, "body-timeout", unset.bodyTimeoutMillis()),
            timeout(section, "response-timeout", unset.responseTimeoutMillis()));
    section.reportUnknownKeys();
    return settings;
  }

  private static long timeout(SettingsSection section, String key, long unsetMillis) {
    Duration unset = Duration.ofMillis(unsetMillis);
    return section.duration(key, unset, MIN_TIMEOUT, MAX_TIMEOUT).toMillis();
  }
}
