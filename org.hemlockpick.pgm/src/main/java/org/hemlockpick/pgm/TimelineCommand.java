package org.hemlockpick.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Merges the logs of several processes into one timeline in causal order. */
final class TimelineCommand implements Command {
  private final Console console;
  private List<Path> files = List.of();
  private boolean json;
  private int skippedLines;

  TimelineCommand(Console console) {
    this.console = console;
  }

  static void configure(Subparser command) {
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

  /** Sets whether entries are printed as JSON lines. */
  TimelineCommand setJson(boolean json) {
    this.json = json;
    return this;
  }

  @Override
  public int call() throws IOException {
    List<TimelineEntry> entries = new ArrayList<>();
    for (Path file : files) {
      LogFiles.read(file, line -> read(line, entries));
    }
    Collections.sort(entries);
    for (TimelineEntry entry : entries) {
      console.out().println(json ? entry.toJson() : entry.toString());
    }
    if (skippedLines > 0) {
      console.err().println(Messages.skippedLines(skippedLines));
    }
    return ExitStatus.OK;
  }

  private void read(String line, List<TimelineEntry> entries) {
    TimelineEntry.parse(line).ifPresentOrElse(entries::add, () -> skippedLines++);
  }
}
