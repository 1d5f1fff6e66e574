package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.Input;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TraceTest {
  private static final InstanceSettings SETTINGS =
      new InstanceSettings(
          "entry-a-1",
          "zone-a",
          List.of(new RosterMember("entry-a-1", "zone-a")),
          Timing.defaults());

  private final Path folder;

  TraceTest(@TempDir Path folder) {
    this.folder = folder;
  }

  @Test
  void replaysToTheSameOutputs() throws IOException {
    Path trace = record();

    TraceReplay.Result result = new TraceReplay((s, i, c, r) -> new FakeLoop()).run(trace).get();

    assertEquals(3, result.ticks());
    assertEquals(2, result.inputs());
    assertFalse(result.cutOff());
  }

  @Test
  void namesTheLineAtWhichOutputsDiffer() throws IOException {
    Path trace = record();
    String text = Files.readString(trace);
    Files.writeString(trace, text.replace("litepay", "text"));

    String reason = new TraceReplay((s, i, c, r) -> new FakeLoop()).run(trace).getLeft();

    assertTrue(reason.startsWith("line 2: "), reason);
  }

  @Test
  void skipsATruncatedLastLine() throws IOException {
    Path trace = record();
    String text = Files.readString(trace);
    Files.writeString(trace, text.substring(0, text.length() - 10));

    TraceReplay.Result result = new TraceReplay((s, i, c, r) -> new FakeLoop()).run(trace).get();

    assertTrue(result.cutOff());
    assertEquals(2, result.ticks());
  }

  @Test
  void namesAnUnreadableFirstLine() throws IOException {
    Path trace = Files.writeString(folder.resolve("t.jsonl"), "{}\n");

    String reason = new TraceReplay((s, i, c, r) -> new FakeLoop()).run(trace).getLeft();

    assertTrue(reason.startsWith("line 1 "), reason);
  }

  private Path record() throws IOException {
    TraceHeader header = new TraceHeader(SETTINGS, 7, -3, 1_000);
    FakeLoop loop = new FakeLoop();
    try (TraceWriter writer = TraceWriter.begin(folder, header)) {
      writer.onTick(1_010, List.of(), List.of());
      for (long exchange = 1; exchange <= 2; exchange++) {
        List<Input> inputs = List.of(request(exchange));
        writer.onTick(1_010 + exchange, inputs, loop.tick(inputs));
      }
    }
    try (Stream<Path> files = Files.list(folder)) {
      return files.findFirst().orElseThrow();
    }
  }

  private static Input request(long exchange) {
    CallerRequest request =
        CallerRequest.newBuilder()
            .setExchange(exchange)
            .setService("litepay")
            .setBody(ByteString.copyFromUtf8("{}"))
            .build();
    return Input.newBuilder().setCallerRequest(request).build();
  }
}
