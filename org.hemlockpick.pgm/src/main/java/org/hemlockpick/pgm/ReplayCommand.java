package org.hemlockpick.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockpick.daemon.TraceReplay;

/** Replays a recorded trace and compares its outputs byte for byte. */
final class ReplayCommand implements Command {
  private final Console console;
  private Path trace = Path.of("");

  ReplayCommand(Console console) {
    this.console = console;
  }

  static void configure(Subparser command) {
    command.addArgument("trace").metavar("TRACE").help("trace that serve recorded");
    command.epilog(Messages.examples("hemlockpick replay traces/entry-a-1-1791072000000.jsonl"));
  }

  static ReplayCommand of(Namespace values, Console console) {
    return new ReplayCommand(console).setTrace(Path.of(values.getString("trace")));
  }

  /** Sets the trace file to replay. */
  ReplayCommand setTrace(Path file) {
    trace = file;
    return this;
  }

  @Override
  public int call() throws IOException {
    if (!Files.isReadable(trace)) {
      throw new IOException(Messages.noSuchFile(trace));
    }
    return TraceReplay.replay(trace).fold(this::differs, this::equal);
  }

  private int differs(String reason) {
    console.out().println(reason);
    return ExitStatus.FAILURE;
  }

  private int equal(TraceReplay.Result result) {
    console.out().println(Messages.replayed(result.ticks(), result.inputs(), result.hash()));
    if (result.cutOff()) {
      console.out().println(Messages.LAST_LINE_TRUNCATED);
    }
    return ExitStatus.OK;
  }
}
