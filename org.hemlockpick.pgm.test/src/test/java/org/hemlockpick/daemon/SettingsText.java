package org.hemlockpick.daemon;

/** Valid settings for tests, of which a test can replace one line. */
final class SettingsText {
  static final String FILE = "zone-a-1.toml";

  static final String COMPLETE =
      """
      [instance]
      name = "entry-a-1"
      zone = "zone-a"
      [listen]
      callers = "127.0.0.1:0"
      peers = "127.0.0.1:7401"
      [platform]
      table-service = "http://127.0.0.1:9001"
      object-store = "http://127.0.0.1:9002"
      instance-list = "http://127.0.0.1:9003"
      [operators]
      key-sha256 = ["%s"]
      [timing]
      heartbeat = "100 ms"
      peer-timeout = "500 ms"
      [[roster]]
      name = "entry-a-1"
      zone = "zone-a"
      peers = "127.0.0.1:7401"
      [[roster]]
      name = "entry-a-2"
      zone = "zone-a"
      peers = "127.0.0.1:7402"
      """
          .formatted("ab".repeat(32));

  private SettingsText() {}

  static String with(String line, String replacement) {
    if (!COMPLETE.contains(line)) {
      throw new IllegalArgumentException(line);
    }
    return COMPLETE.replaceFirst(java.util.regex.Pattern.quote(line), replacement);
  }
}
