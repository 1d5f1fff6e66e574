package org.hemlockpick.pgm;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Computes the digests that represent keys in contracts and settings. */
final class Digests {
  private Digests() {}

  /** Returns the SHA-256 digest of a key in lower-case hexadecimal. */
  static String sha256(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }
}
