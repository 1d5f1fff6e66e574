package org.hemlockpick.pgm;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Makes the digests under which keys are named in contracts and settings. */
final class Digests {
  private Digests() {}

  /** Returns the SHA-256 digest of a key in lower-case hex. */
  static String sha256(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }
}
