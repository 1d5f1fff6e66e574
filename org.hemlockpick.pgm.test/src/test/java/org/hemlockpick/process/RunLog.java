package org.hemlockpick.process;

import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.Multiset;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Counts the runs of each request at the workers, from the log of the stand-ins. */
final class RunLog {
  private static final String STARTED = "request-started";

  private final Multiset<String> labels;

  private RunLog(Multiset<String> labels) {
    this.labels = labels;
  }

  static RunLog read(Path log) throws IOException {
    try (Stream<String> lines = Files.lines(log)) {
      return new RunLog(
          lines
              .filter(line -> line.contains(STARTED))
              .map(line -> JsonLines.parse(JsonLines.parse(line).getString("message")))
              .filter(event -> event.getString("kind").equals(STARTED))
              .map(RunLog::label)
              .collect(ImmutableMultiset.toImmutableMultiset()));
    }
  }

  /** Returns how often the request with the label was started. */
  int count(String label) {
    return labels.count(label);
  }

  private static String label(JsonObject event) {
    return event.getString("detail", "");
  }
}
