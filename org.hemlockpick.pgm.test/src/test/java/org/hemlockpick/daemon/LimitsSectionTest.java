package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hemlockpick.daemon.admission.AdmissionSettings;
import org.hemlockpick.util.DepthLimitedToml;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the limits on callers in the settings, which both kinds of settings have. */
class LimitsSectionTest {
  private final FaultCollector faults = new FaultCollector("f.toml");

  private AdmissionSettings read(String text) {
    return LimitsSection.read(new SettingsDocument(faults, DepthLimitedToml.parse(text)));
  }

  private List<SettingsFault> sortedFaults() {
    return faults.sorted();
  }

  @Test
  void settingsWithoutLimitsLowerNone() {
    assertEquals(AdmissionSettings.DEFAULT, read(""));
  }

  @Test
  void limitsAreRead() {
    String text =
        """
        [limits]
        body-bytes-in-flight = 5000
        connections = 7
        header-bytes = 1000
        header-timeout = "1 s"
        idle-timeout = "2 s"
        body-timeout = "3 s"
        response-timeout = "4 s"
        """;
    assertEquals(new AdmissionSettings(5_000, 7, 1_000, 1_000, 2_000, 3_000, 4_000), read(text));
    assertEquals(List.of(), sortedFaults());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "connections = 0",
        "connections = \"7\"",
        "connections = 1.5",
        "connections = 3000000000",
        "body-bytes-in-flight = 10",
        "header-bytes = -1",
        "idle-timeout = 5",
        "idle-timeout = \"0 ms\"",
        "idle-timeout = \"2 h\"",
        "unknown = 1"
      })
  void faultIsReportedWithItsLineAndKey(String line) {
    var unused = read("[limits]\n" + line);
    String key = line.substring(0, line.indexOf(' '));
    assertEquals(1, sortedFaults().size());
    assertEquals("limits." + key, sortedFaults().get(0).key());
    assertEquals(2, sortedFaults().get(0).line());
  }
}
