package org.hemlockpick.standin;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;

/** Fetches the payloads of tasks. */
public interface PayloadSource {
  /**
   * Fetches the object with a key. The result is empty if there is none, and fails if the store
   * does not answer.
   */
  CompletableFuture<ByteString> fetch(String key);
}
