package org.hemlockpick.cell;

import java.io.PrintStream;
import java.util.List;
import org.hemlockpick.cell.WorkerPort.CompletionReport;
import org.hemlockpick.cell.WorkerPort.HoldReply;
import org.hemlockpick.cell.WorkerPort.RunReport;

/** Measures the cost of a takeover of a cell: calls to workers, connections and bytes. */
public final class TakeoverCost {
  private static final int[] WORKERS = {246, 342, 1_500};
  private static final int RUNS_PER_WORKER = 4;
  private static final long SETTLE_MILLIS = 10_000;
  private static final long MAX_MILLIS = 20_000;

  /** Bytes of the quotes and separators around a value in a message. */
  private static final long ENVELOPE_BYTES = 3;

  private final PrintStream out;

  /** Creates the measurement, which prints to a stream. */
  public TakeoverCost(PrintStream out) {
    this.out = out;
  }

  /** Prints a line for each number of workers. */
  public void print() {
    out.println("A takeover until every worker has answered and its lease was extended once,");
    out.println(
        RUNS_PER_WORKER + " runs per worker; bytes are those of the values in the messages.");
    out.println("workers | calls | connections | bytes sent | bytes read | ms");
    for (int workers : WORKERS) {
      measure(workers);
    }
  }

  private void measure(int workers) {
    CellWorld world = new CellWorld(20261204, 2, workers);
    world.workers.runMillis = 600_000;
    world.time.runFor(SETTLE_MILLIS);
    int tasks = workers * RUNS_PER_WORKER;
    world.submit(0, "0123456789abcdef", CellWorld.step(tasks, false, null, 0, true, List.of()));
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node previous = world.holder();
    CellWorld.Node next = world.nodes.get(previous == world.nodes.get(0) ? 1 : 0);
    FakeWorkers.View view = next.workerView;
    view.processor = new SimulatedProcessor(world.time, 0, 0);
    previous.kill();
    while (!next.process().isHolder()) {
      world.time.runFor(1);
    }
    long begin = world.time.millis();
    while (view.extended.size() < workers && world.time.millis() < begin + MAX_MILLIS) {
      world.time.runFor(1);
    }
    long millis = world.time.millis() - begin;
    out.printf(
        "%d | %d | %d | %d | %d | %d%n",
        workers, view.calls, view.connections, view.bytesSent, view.bytesRead, millis);
  }

  /** Returns the size of the values in a reply. */
  static long size(HoldReply reply) {
    long size = size(reply.clockMillis()) + size(reply.bootTimeMillis());
    for (RunReport run : reply.running()) {
      size += size(run.run().task()) + size(run.run().attempt()) + size(run.checkpoint());
      size += size(run.percent()) + size(run.gauge());
    }
    for (CompletionReport completion : reply.completions()) {
      size +=
          size(completion.number())
              + size(completion.run().task())
              + size(completion.run().attempt());
      size += size(completion.kind()) + size(completion.checkpoint());
    }
    return size;
  }

  /** Returns the size of a value as text. */
  static long size(Object value) {
    return value.toString().length() + ENVELOPE_BYTES;
  }
}
