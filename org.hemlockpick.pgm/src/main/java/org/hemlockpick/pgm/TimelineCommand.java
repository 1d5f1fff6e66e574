package org.hemlockpick.pgm;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Merges the logs of several processes into one time line in causal order. */
final class TimelineCommand implements Command {
  private final Console console;
  private List<Path> files = List.of();
  private boolean json;
  private int passedOver;

  TimelineCommand(Console console) {
    this.console = console;
  }

  static void describe(Subparser command) {
    command
        .addArgument("files")
        .metavar("FILE")
        .nargs("+")
        .help("logs with one JSON object a line");
    command.addArgument("--json").action(Arguments.storeTrue()).help("print JSON lines");
    command.epilog(
        Messages.examples("hemlockpick timeline entry-a-1.log entry-a-2.log entry-a-3.log"));
  }

  static TimelineCommand of(Namespace values, Console console) {
    List<Path> files = values.<String>getList("files").stream().map(Path::of).toList();
    return new TimelineCommand(console).setFiles(files).setJson(values.getBoolean("json"));
  }

  /** Sets the logs to merge. */
  TimelineCommand setFiles(List<Path> files) {
    this.files = List.copyOf(files);
    return this;
  }

  /** Sets whether JSON lines are printed. */
  TimelineCommand setJson(boolean json) {
    this.json = json;
    return this;
  }

  @Override
  public int call() throws IOException {
    List<TimelineEntry> entries = new ArrayList<>();
    for (Path file : files) {
      read(file, entries);
    }
    Collections.sort(entries);
    for (TimelineEntry entry : entries) {
      console.out().println(json ? entry.toJson() : entry.toString());
    }
    if (passedOver > 0) {
      console.err().println(Messages.passedOver(passedOver));
    }
    return ExitStatus.OK;
  }

  private void read(Path file, List<TimelineEntry> entries) throws IOException {
    if (!Files.isReadable(file)) {
      throw new IOException(Messages.noSuchFile(file));
    }
    var decoder =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPLACE)
            .onUnmappableCharacter(CodingErrorAction.REPLACE);
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(Files.newInputStream(file), decoder))) {
      lines.lines().forEach(line -> read(line, entries));
    }
  }

  private void read(String line, List<TimelineEntry> entries) {
    TimelineEntry.parse(line).ifPresentOrElse(entries::add, () -> passedOver++);
  }
}
