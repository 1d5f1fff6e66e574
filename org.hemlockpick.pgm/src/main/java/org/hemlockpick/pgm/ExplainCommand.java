package org.hemlockpick.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.jspecify.annotations.Nullable;

/**
 * Collects the decisions about one job from several logs, and prints which one determined its
 * outcome.
 */
final class ExplainCommand implements Command {
  private final Console console;
  private String id = "";
  private List<Path> files = List.of();

  ExplainCommand(Console console) {
    this.console = console;
  }

  static void configure(Subparser command) {
    command.addArgument("id").metavar("ID").help("identifier of a job");
    command
        .addArgument("files")
        .metavar("FILE")
        .nargs("+")
        .help("logs with one JSON object a line");
    command.epilog(Messages.examples("hemlockpick explain 5c0e7a21d94b36f8 entry-*.log"));
  }

  static ExplainCommand of(Namespace values, Console console) {
    List<Path> files = values.<String>getList("files").stream().map(Path::of).toList();
    return new ExplainCommand(console).setId(values.getString("id")).setFiles(files);
  }

  /** Sets the ID of the job. */
  ExplainCommand setId(String id) {
    this.id = id;
    return this;
  }

  /** Sets the logs to read. */
  ExplainCommand setFiles(List<Path> files) {
    this.files = List.copyOf(files);
    return this;
  }

  @Override
  public int call() throws IOException {
    List<DecisionLine> lines = new ArrayList<>();
    for (Path file : files) {
      LogFiles.read(file, line -> DecisionLine.parse(line).ifPresent(lines::add));
    }
    lines.removeIf(line -> !line.isAbout(id));
    if (lines.isEmpty()) {
      console.err().println(Messages.noLinesAbout(id));
      return ExitStatus.FAILURE;
    }
    lines.sort(DecisionLine.BY_TIME);
    lines.forEach(console.out()::println);
    console.out().println(conclusion(lines));
    return ExitStatus.OK;
  }

  private String conclusion(List<DecisionLine> lines) {
    DecisionLine settled = last(lines, "job");
    if (settled != null && !settled.outcome().equals("taken")) {
      return Messages.settled(id, settled);
    }
    DecisionLine answer = last(lines, "submit");
    if (settled == null && answer != null) {
      return Messages.notSeenByHolder(id, answer);
    }
    return Messages.notSettled(id, lines.get(lines.size() - 1));
  }

  private static @Nullable DecisionLine last(List<DecisionLine> lines, String kind) {
    DecisionLine last = null;
    for (DecisionLine line : lines) {
      last = line.kind().equals(kind) ? line : last;
    }
    return last;
  }
}
