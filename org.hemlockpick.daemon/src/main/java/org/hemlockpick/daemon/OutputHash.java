package org.hemlockpick.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.security.DigestOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.hemlockpick.proto.Output;

/** Running hash of the outputs of a loop in their order. */
final class OutputHash {
  private static final String ALGORITHM = "SHA-256";

  private final MessageDigest digest;
  private final OutputStream sink;

  OutputHash() {
    try {
      digest = MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
    sink = new DigestOutputStream(OutputStream.nullOutputStream(), digest);
  }

  void add(List<Output> outputs) {
    try {
      for (Output output : outputs) {
        output.writeDelimitedTo(sink);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the hash of all outputs so far in lower-case hex. */
  String hex() {
    try {
      return HexFormat.of().formatHex(((MessageDigest) digest.clone()).digest());
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException(e);
    }
  }
}
