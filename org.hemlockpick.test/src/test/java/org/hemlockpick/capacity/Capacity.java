package org.hemlockpick.capacity;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hemlockpick.cell.TakeoverCost;

/** Prints the measurements behind {@code docs/CAPACITY.md}. */
public final class Capacity {
  private static final List<String> PARTS =
      List.of("memory", "tick", "load", "messages", "store", "takeover");

  private Capacity() {}

  /**
   * Runs the named measurements.
   *
   * @param args some of "memory", "tick", "load", "messages", "store" and "takeover"; none for all
   */
  public static void main(String[] args) {
    PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    List<String> parts = args.length == 0 ? PARTS : List.of(args);
    if (!PARTS.containsAll(parts)) {
      out.println("capacity: name some of " + String.join(", ", PARTS) + ", or nothing for all");
      System.exit(2);
    }
    parts.forEach(part -> run(part, out));
  }

  private static void run(String part, PrintStream out) {
    switch (part) {
      case "memory" -> new MemorySlopes(out).print();
      case "tick" -> new TickSlopes(out).print();
      case "load" -> new LoadSlopes(out).print();
      case "messages" -> new MessageSlopes(out).print();
      case "store" -> new StoreSlopes(out).print();
      default -> new TakeoverCost(out).print();
    }
  }
}
