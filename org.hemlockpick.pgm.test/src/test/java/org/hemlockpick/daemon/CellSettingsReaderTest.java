package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CellSettingsReaderTest {
  private static final Map<String, String> FIELDS =
      Map.of(
          "{{node_name}}", "edge-kgn-a-1",
          "{{zone}}", "kgn-a",
          "{{listen.frontend}}", "10.1.0.13:8161",
          "{{listen.readiness}}", "10.1.0.13:8167",
          "{{ip}}:{{port_range.0}}", "10.1.0.13:7720",
          "{{platform.address}}", "10.200.1.7:8169",
          "{{bounds.hold_max_ms}}", "10000",
          "{{bounds.stop_ms}}", "900",
          "{{bounds.status_s}}", "120",
          "{{bounds.grace_s}}", "6");

  @TempDir private Path folder = Path.of("");

  private Path write(String text) throws IOException {
    return Files.writeString(folder.resolve("settings.toml"), text);
  }

  private static String rendered() throws IOException {
    String text = Files.readString(Path.of("../deploy/settings.toml"));
    for (Map.Entry<String, String> field : FIELDS.entrySet()) {
      text = text.replace(field.getKey(), field.getValue());
    }
    return text;
  }

  @Test
  void readsWhatTheTemplateRenders() throws IOException {
    Path file = write(rendered());
    assertTrue(CellSettingsReader.isFor(file));
    CellDaemonSettings settings = CellSettingsReader.read(file).get();
    assertEquals("edge-kgn-a-1", settings.name());
    assertEquals("10.200.1.7:8169", settings.tableService());
    assertEquals(10_000, settings.workerLeaseMillis());
    assertEquals(120_000, settings.statusKeepMillis());
    assertEquals(8161, settings.callers().getPort());
  }

  @Test
  void namesEveryFaultWithItsLineAndKey() throws IOException {
    String text =
        rendered().replace("stop-grace", "stop-gracefully").replace("10.200.1.7:8169", "nowhere");
    List<Fault> faults = CellSettingsReader.read(write(text)).getLeft();
    assertEquals(2, faults.size(), faults::toString);
    assertEquals("cell.table-service", faults.get(0).key());
    assertEquals("cell.stop-gracefully", faults.get(1).key());
  }

  @Test
  void tellsOtherSettingsApart() throws IOException {
    assertTrue(!CellSettingsReader.isFor(write("[instance]\nname = \"a\"\n")));
    assertTrue(!CellSettingsReader.isFor(folder.resolve("missing.toml")));
  }
}
