package org.hemlockpick.daemon;

import io.vavr.control.Either;
import jakarta.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hemlockpick.proto.Output;
import org.jspecify.annotations.Nullable;

/** Replays a recorded trace and compares the outputs with the recorded ones. */
public final class TraceReplay {
  private final LoopFactory loops;

  private int line;
  private long ticks;
  private long inputs;

  TraceReplay(LoopFactory loops) {
    this.loops = loops;
  }

  /**
   * Summary of a replay.
   *
   * @param ticks number of ticks
   * @param inputs number of inputs
   * @param hash hash of all outputs in lower-case hex
   * @param cutOff whether the last line was cut off and therefore not run
   */
  public record Result(long ticks, long inputs, String hash, boolean cutOff) {}

  /**
   * Replays a trace with the library's loop.
   *
   * @param trace recorded trace
   * @return the summary, or the reason why the replay differs or the trace cannot be read
   * @throws IOException if the file cannot be read
   */
  public static Either<String, Result> replay(Path trace) throws IOException {
    return new TraceReplay(EntryLoop::new).run(trace);
  }

  /**
   * Replays a trace.
   *
   * @return the summary, or the reason why the replay differs or the trace cannot be read
   * @throws IOException if the file cannot be read
   */
  Either<String, Result> run(Path trace) throws IOException {
    try (BufferedReader lines = Files.newBufferedReader(trace)) {
      String first = next(lines);
      return first == null ? Either.left(Messages.TRACE_EMPTY) : run(first, lines);
    }
  }

  private Either<String, Result> run(String first, BufferedReader lines) throws IOException {
    TraceHeader header;
    try {
      header = TraceHeader.of(parse(first));
    } catch (RuntimeException e) {
      return Either.left(Messages.traceLineUnreadable(line, String.valueOf(e.getMessage())));
    }
    TickClock clock = new TickClock(header.startedAtMillis());
    Loop loop =
        loops.create(
            header.settings(), header.incarnation(), clock, RandomSource.of(header.seed()));
    return run(loop, clock, lines);
  }

  private Either<String, Result> run(Loop loop, TickClock clock, BufferedReader lines)
      throws IOException {
    OutputHash hash = new OutputHash();
    String text = next(lines);
    while (text != null) {
      String following = lines.readLine();
      TraceTick tick;
      try {
        tick = TraceTick.of(parse(text));
      } catch (IOException | RuntimeException e) {
        return following == null
            ? Either.right(new Result(ticks, inputs, hash.hex(), true))
            : Either.left(Messages.traceLineUnreadable(line, String.valueOf(e.getMessage())));
      }
      run(loop, clock, tick, hash);
      if (!hash.hex().equals(tick.hash())) {
        return Either.left(Messages.replayDiffers(line, tick.atMillis()));
      }
      text = following;
      line++;
    }
    return Either.right(new Result(ticks, inputs, hash.hex(), false));
  }

  private void run(Loop loop, TickClock clock, TraceTick tick, OutputHash hash) {
    for (long idle : tick.idleMillis()) {
      clock.set(idle);
      hash.add(loop.tick(List.of()));
    }
    clock.set(tick.atMillis());
    List<Output> outputs = loop.tick(tick.inputs());
    hash.add(outputs);
    ticks += tick.idleMillis().size() + 1L;
    inputs += tick.inputs().size();
  }

  private @Nullable String next(BufferedReader lines) throws IOException {
    line++;
    return lines.readLine();
  }

  private static JsonObject parse(String text) {
    return JsonText.parse(text).orElseThrow(TraceReplay::notJson).asJsonObject();
  }

  private static IllegalArgumentException notJson() {
    return new IllegalArgumentException(Messages.LINE_NOT_JSON);
  }
}
