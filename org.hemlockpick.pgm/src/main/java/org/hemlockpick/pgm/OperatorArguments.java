package org.hemlockpick.pgm;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Defines the arguments that all operator commands share. */
final class OperatorArguments {
  private OperatorArguments() {}

  static void configure(Subparser command) {
    command
        .addArgument("--url")
        .metavar("URL")
        .required(true)
        .help("caller address of any entry instance, like http://127.0.0.1:8080");
    command
        .addArgument("--key-file")
        .metavar("FILE")
        .required(true)
        .help("file whose first line is the operator's key");
  }

  static Operator operator(Namespace values) {
    return new Operator(url(values.getString("url")), Path.of(values.getString("key_file")));
  }

  private static URI url(String text) {
    try {
      URI url = URI.create(text);
      if ("http".equals(url.getScheme()) && url.getHost() != null) {
        return url;
      }
    } catch (IllegalArgumentException e) {
      // Reported below.
    }
    throw new UsageException(Messages.notUrl(text));
  }

  /**
   * The entry instance to call and the file with the operator's key.
   *
   * @param url caller address of the entry instance
   * @param keyFile file whose first line is the key
   */
  record Operator(URI url, Path keyFile) {

    /**
     * Creates a client with the key from the file.
     *
     * @throws IOException if the key cannot be read
     */
    ApiClient connect() throws IOException {
      if (!Files.isReadable(keyFile)) {
        throw new IOException(Messages.noKeyFile(keyFile));
      }
      String key = Files.readString(keyFile).lines().findFirst().orElse("").strip();
      if (key.isEmpty()) {
        throw new IOException(Messages.KEY_FILE_EMPTY);
      }
      return new ApiClient(url, key);
    }
  }
}
