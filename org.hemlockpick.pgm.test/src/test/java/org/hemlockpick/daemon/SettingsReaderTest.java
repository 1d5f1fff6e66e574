package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {

  @Test
  void readsCompleteSettings() {
    Settings settings = SettingsReader.read(SettingsText.FILE, SettingsText.COMPLETE).get();

    assertEquals(List.of("entry-a-2"), settings.instance().zonePeers());
    assertEquals(Duration.ofMillis(100), settings.instance().timing().heartbeat());
    assertEquals(Duration.ofSeconds(4), settings.instance().timing().leaseTtl());
    InetSocketAddress peer = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7402);
    assertEquals(Map.of("entry-a-2", peer), settings.peerAddresses());
    assertEquals("127.0.0.1:9001", settings.platform().tableService().getAuthority());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "name = \"entry-a-1\"         | name = \"Entry 1\"            | 2  | instance.name",
        "name = \"entry-a-1\"         | name = 7                      | 2  | instance.name",
        "zone = \"zone-a\"            | zone = \"zone-b\"             | 2  | instance.name",
        "name = \"entry-a-1\"         | nam = \"entry-a-1\"           | 2  | instance.nam",
        "callers = \"127.0.0.1:0\"    | callers = \"127.0.0.1\"       | 5  | listen.callers",
        "callers = \"127.0.0.1:0\"    | callers = \"127.0.0.1:70000\" | 5  | listen.callers",
        "callers = \"127.0.0.1:0\"    | callers = \"127.0.0.1:7401\"  | 6  | listen.peers",
        "peers = \"127.0.0.1:7401\"   | peers = \"127.0.0.1:7499\"    | 6  | listen.peers",
        "http://127.0.0.1:9001        | ftp://127.0.0.1:9001          | 8  |"
            + " platform.table-service",
        "http://127.0.0.1:9002        | http://127.0.0.1              | 9  | platform.object-store",
        "key-sha256 = [\"             | key-sha256 = [\"x             | 12 | operators.key-sha256",
        "heartbeat = \"100 ms\"       | heartbeat = \"100\"           | 14 | timing.heartbeat",
        "heartbeat = \"100 ms\"       | heartbeat = 100               | 14 | timing.heartbeat",
        "heartbeat = \"100 ms\"       | heartbeat = \"1 h\"           | 14 | timing.heartbeat",
        "peer-timeout = \"500 ms\"    | peer-timeout = \"200 ms\"     | 15 | timing.peer-timeout",
        "heartbeat = \"100 ms\"       | lease-ttl = \"2 s\"           | 14 | timing.lease-ttl",
        "heartbeat = \"100 ms\"       | max-clock-drift = 0.5         | 14 |"
            + " timing.max-clock-drift",
        "name = \"entry-a-2\"         | name = \"entry-a-1\"          | 21 | roster.name",
        "peers = \"127.0.0.1:7402\"   | peers = \"127.0.0.1:7401\"    | 23 | roster.peers",
        "[operators]                  | [operator]                    | 11 | operator",
      })
  void namesFileLineAndKeyOfAFault(String line, String replacement, int faultLine, String key) {
    List<SettingsFault> faults =
        SettingsReader.read(SettingsText.FILE, SettingsText.with(line, replacement)).getLeft();

    String location = SettingsText.FILE + ":" + faultLine + ": " + key + ": ";
    assertTrue(
        faults.stream().anyMatch(fault -> fault.toString().startsWith(location)),
        () -> location + " is not in " + faults);
  }

  @Test
  void namesEveryFaultInOrderOfLines() {
    String text = SettingsText.with("heartbeat = \"100 ms\"", "heartbeat = \"soon\"");

    List<SettingsFault> faults =
        SettingsReader.read(SettingsText.FILE, text.replace("zone = \"zone-a\"", "zone = 1"))
            .getLeft();

    assertEquals(List.of(3, 14, 18, 22), faults.stream().map(SettingsFault::line).toList());
  }

  @Test
  void namesTheLineOfASyntaxError() {
    List<SettingsFault> faults =
        SettingsReader.read(SettingsText.FILE, "[instance]\nname = ").getLeft();

    assertEquals(2, faults.get(0).line());
  }

  @Test
  void reportsAMissingFile() {
    List<SettingsFault> faults = SettingsReader.read(Path.of("no-such.toml")).getLeft();

    assertEquals(1, faults.size());
    assertTrue(faults.get(0).toString().startsWith("no-such.toml:1: cannot be read"));
  }

  @Test
  void reportsEveryMissingKeyOfAnEmptyFile() {
    List<SettingsFault> faults = SettingsReader.read(SettingsText.FILE, "").getLeft();

    assertEquals(
        List.of(
            "instance.name",
            "instance.zone",
            "listen.callers",
            "listen.peers",
            "platform.table-service",
            "platform.object-store",
            "platform.instance-list",
            "roster"),
        faults.stream().map(SettingsFault::key).toList());
  }
}
