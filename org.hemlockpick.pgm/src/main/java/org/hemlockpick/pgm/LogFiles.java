package org.hemlockpick.pgm;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

/** Reads logs line by line and replaces malformed bytes, as a line may be corrupt. */
final class LogFiles {
  private LogFiles() {}

  /**
   * Passes each line of a log to a consumer.
   *
   * @throws IOException if the file cannot be read
   */
  static void read(Path file, Consumer<String> lines) throws IOException {
    if (!Files.isReadable(file)) {
      throw new IOException(Messages.noSuchFile(file));
    }
    var decoder =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPLACE)
            .onUnmappableCharacter(CodingErrorAction.REPLACE);
    try (BufferedReader reader =
        new BufferedReader(new InputStreamReader(Files.newInputStream(file), decoder))) {
      reader.lines().forEach(lines);
    }
  }
}
