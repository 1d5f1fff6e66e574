package org.hemlockpick.daemon;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;
import org.jboss.logging.Logger;

/**
 * Records the inputs of a loop as JSON lines, so that the run can be replayed.
 *
 * <p>A trace contains the bodies of the callers' requests. If the file can no longer be written,
 * the recording stops and the loop continues.
 */
final class TraceWriter implements AutoCloseable {
  private static final Logger log = Logger.getLogger(TraceWriter.class);
  private static final long FLUSH_MILLIS = TimeUnit.SECONDS.toMillis(1);
  private static final int MAX_IDLE_TICKS = 1_000;

  private final BufferedWriter writer;
  private final OutputHash hash = new OutputHash();
  private final List<Long> idle = new ArrayList<>();
  private long lastFlush;
  private boolean failed;

  private TraceWriter(BufferedWriter writer) {
    this.writer = writer;
  }

  /**
   * Starts a trace in a new file in a directory.
   *
   * @throws IOException if the file cannot be written
   */
  static TraceWriter begin(Path directory, TraceHeader header) throws IOException {
    Files.createDirectories(directory);
    String name = header.settings().name() + "-" + header.incarnation() + ".jsonl";
    TraceWriter trace = new TraceWriter(Files.newBufferedWriter(directory.resolve(name)));
    trace.writer.write(header.toJson().toString());
    trace.writer.newLine();
    return trace;
  }

  /** Records a tick. */
  synchronized void onTick(long atMillis, List<Input> inputs, List<Output> outputs) {
    if (failed) {
      return;
    }
    if (inputs.isEmpty() && outputs.isEmpty() && idle.size() < MAX_IDLE_TICKS) {
      idle.add(atMillis);
      return;
    }
    hash.add(outputs);
    write(new TraceTick(List.copyOf(idle), atMillis, inputs, hash.hex()));
    idle.clear();
  }

  /** Flushes and closes the file. */
  @Override
  public synchronized void close() {
    try {
      writer.close();
    } catch (IOException e) {
      fail(e);
    }
  }

  private void write(TraceTick tick) {
    try {
      writer.write(tick.toJson().toString());
      writer.newLine();
      flush(tick.atMillis());
    } catch (IOException e) {
      fail(e);
    }
  }

  private void flush(long now) throws IOException {
    if (now - lastFlush < FLUSH_MILLIS) {
      return;
    }
    lastFlush = now;
    writer.flush();
  }

  private void fail(IOException e) {
    failed = true;
    log.errorv(e, Messages.TRACE_FAILED, e.getMessage());
  }
}
