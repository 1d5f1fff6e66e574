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
      Map.ofEntries(
          Map.entry("{{node_name}}", "edge-kgn-a-1"),
          Map.entry("{{zone}}", "kgn-a"),
          Map.entry("{{listen.frontend}}", "10.1.0.13:8161"),
          Map.entry("{{listen.readiness}}", "10.1.0.13:8167"),
          Map.entry("{{ip}}", "10.1.0.13"),
          Map.entry("{{platform.address}}", "10.200.1.7:8169"),
          Map.entry("{{platform.row_bytes}}", "32768"),
          Map.entry("{{bounds.hold_max_ms}}", "10000"),
          Map.entry("{{bounds.stop_ms}}", "900"),
          Map.entry("{{bounds.status_s}}", "120"),
          Map.entry("{{bounds.grace_s}}", "6"),
          Map.entry("{{bounds.evacuate_ms}}", "5000"),
          Map.entry("{{limits.cpu_share}}", "0.75"),
          Map.entry("{{limits.cores}}", "2"),
          Map.entry("{{limits.link_mbps}}", "1000.0"));

  @TempDir private Path folder = Path.of("");

  private Path write(String text) throws IOException {
    return Files.writeString(folder.resolve("settings.toml"), text);
  }

  /** Renders the template for a platform that provides no bound for evacuations. */
  private static String rendered() throws IOException {
    return rendered("(?s)\\{\\{#.*?\\{\\{/.*?}}");
  }

  /**
   * Renders the template.
   *
   * @param removed pattern of what is removed from it
   */
  private static String rendered(String removed) throws IOException {
    String text = Files.readString(Path.of("../deploy/settings.toml")).replaceAll(removed, "");
    for (Map.Entry<String, String> field : FIELDS.entrySet()) {
      text = text.replace(field.getKey(), field.getValue());
    }
    return text;
  }

  @Test
  void readsTheRenderedTemplate() throws IOException {
    Path file = write(rendered());
    assertTrue(CellSettingsReader.isCellSettings(file));
    CellDaemonSettings settings = CellSettingsReader.read(file).get();
    assertEquals("edge-kgn-a-1", settings.name());
    assertEquals("10.200.1.7:8169", settings.tableService());
    assertEquals(10_000, settings.workerLeaseMillis());
    assertEquals(120_000, settings.statusKeepMillis());
    assertEquals(8161, settings.callers().getPort());
    assertEquals(1.5, settings.size().cores());
    assertEquals(1_000, settings.size().linkMbits());
    assertEquals(0, settings.evacuationBoundMillis());
  }

  @Test
  void readsTheBoundOfEvacuationsIfThePlatformProvidesOne() throws IOException {
    Path file = write(rendered("\\{\\{[#/].*?}}"));
    assertEquals(5_000, CellSettingsReader.read(file).get().evacuationBoundMillis());
  }

  /** Guards against a limit of the platform that is assumed instead of read. */
  @Test
  void readsTheLargestRowIfThePlatformProvidesIt() throws IOException {
    String known = rendered("\\{\\{[#/].*?}}");
    assertEquals(32_768, CellSettingsReader.read(write(known)).get().rowBytes());
    assertEquals(65_536, CellSettingsReader.read(write(rendered())).get().rowBytes());
    String huge = known.replace("32768", "8388608");
    assertEquals(131_072, CellSettingsReader.read(write(huge)).get().rowBytes());
    for (String invalid : List.of("1000", "many", "-1", "99999999999999999999")) {
      Path file = write(known.replace("32768", invalid));
      List<SettingsFault> faults = CellSettingsReader.read(file).getLeft();
      assertEquals(1, faults.size(), invalid);
      assertEquals("cell.row-bytes", faults.get(0).key());
    }
  }

  /** The platform may render its limits as empty or as invalid values. */
  @Test
  void sizeHasDefaultsWhenMissingAndIsRefusedWhenInvalid() throws IOException {
    String without = rendered().replace("\"0.75\"", "\"\"").replace("\"1000.0\"", "\"\"");
    assertEquals(2, CellSettingsReader.read(write(without)).get().size().cores());
    assertEquals(100, CellSettingsReader.read(write(without)).get().size().linkMbits());
    String wrong = rendered().replace("\"0.75\"", "\"fast\"").replace("\"1000.0\"", "\"0\"");
    List<SettingsFault> faults = CellSettingsReader.read(write(wrong)).getLeft();
    assertEquals(
        List.of("instance.processor-share", "instance.link-mbits"),
        faults.stream().map(SettingsFault::key).toList());
  }

  @Test
  void namesEveryFaultWithItsLineAndKey() throws IOException {
    String text =
        rendered().replace("stop-grace", "stop-gracefully").replace("10.200.1.7:8169", "nowhere");
    List<SettingsFault> faults = CellSettingsReader.read(write(text)).getLeft();
    assertEquals(2, faults.size(), faults::toString);
    assertEquals("cell.table-service", faults.get(0).key());
    assertEquals("cell.stop-gracefully", faults.get(1).key());
  }

  @Test
  void otherFilesAreNotCellSettings() throws IOException {
    assertTrue(!CellSettingsReader.isCellSettings(write("[instance]\nname = \"a\"\n")));
    assertTrue(!CellSettingsReader.isCellSettings(folder.resolve("missing.toml")));
  }
}
