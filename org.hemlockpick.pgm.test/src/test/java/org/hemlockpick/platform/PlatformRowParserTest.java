package org.hemlockpick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.hemlockpick.cell.Configuration;
import org.hemlockpick.cell.RequestLimits;
import org.hemlockpick.cell.ResourceAmounts;
import org.hemlockpick.cell.WorkerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PlatformRowParserTest {
  private final PlatformRowParser rows = new PlatformRowParser();

  private Optional<WorkerEntry> worker(String json) {
    return rows.worker("i-7f3a91c2", ByteString.copyFromUtf8(json));
  }

  @Test
  void readsAWorker() {
    WorkerEntry worker =
        worker(
                "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"kgn-a\","
                    + "\"state\":\"draining\",\"remaining_ms\":2100,\"born\":5,"
                    + "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0},"
                    + "\"labels\":[\"a\",\"r1-3\"],\"seq\":4}")
            .orElseThrow();
    assertEquals(new ResourceAmounts(16_000, 32_768, 0), worker.capacity());
    assertTrue(worker.draining());
    assertEquals(2_100, worker.remainingMillis());
    assertEquals(5, worker.bootTimeMillis());
    assertTrue(worker.labels().contains("r1-3"));
  }

  @Test
  void skipsEntriesOfOtherWriters() {
    assertTrue(worker("").isEmpty());
    assertTrue(worker("\u0000\u0001").isEmpty());
    assertTrue(
        worker("{\"service\":3,\"address\":\"10.128.0.9:80\",\"state\":\"ready\"}").isEmpty());
    assertTrue(
        worker(
                "{\"service\":\"s\",\"address\":\"10.128.0.9:80\",\"state\":\"odd\",\"capacity\":{}}")
            .isEmpty());
    assertTrue(
        worker(
                "{\"service\":\"s\",\"address\":\"10.128.0.9:80\",\"state\":\"ready\",\"capacity\":9}")
            .isEmpty());
  }

  private Optional<WorkerEntry> workerAt(String address) {
    return worker(
        "{\"service\":\"s\",\"address\":\"" + address + "\",\"state\":\"ready\",\"capacity\":{}}");
  }

  /** Guards against calls to another writer's entries whose address is none. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "host 17",
        "10.128.0.9",
        "10.128.0.9:",
        "10.128.0.9:0",
        "10.128.0.9:-1",
        "10.128.0.9:70000",
        "10.128.0.9:80/x",
        "10.128.0.9:80 ",
        "10.128.0:80",
        "10.128.0.256:80",
        "host.example:8080",
        ":8080",
        "::1"
      })
  void skipsEntriesWhoseAddressIsNone(String address) {
    assertTrue(workerAt(address).isEmpty());
  }

  @Test
  void readsNumericAddresses() {
    assertEquals("10.128.0.9:1", workerAt("10.128.0.9:1").orElseThrow().address());
    assertEquals("10.128.0.9:65535", workerAt("10.128.0.9:65535").orElseThrow().address());
    assertEquals("[::1]:80", workerAt("[::1]:80").orElseThrow().address());
  }

  @Test
  void readsAConfigurationAndItsRoutes() {
    Configuration configuration =
        rows.configuration(
                ByteString.copyFromUtf8(
                    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","
                        + "\"path_prefix\":\"/x/\",\"service\":\"s\",\"max_attempts\":3,"
                        + "\"slack_factor\":1.5,\"target_latency_ms\":400},{\"name\":\"q\","
                        + "\"host\":\"a.example\",\"path_prefix\":\"/x/y/\",\"service\":\"s\"},"
                        + "{\"name\":\"bad\"}],\"services\":[{\"name\":\"s\","
                        + "\"enforce_capacity\":true}],\"limits\":{\"max_body_bytes\":1000}}"))
            .orElseThrow();
    assertEquals(2, configuration.queues().size());
    assertEquals("r", configuration.route("a.example", "/x/1").orElseThrow().name());
    assertEquals("q", configuration.route("a.example", "/x/y/1").orElseThrow().name());
    assertTrue(configuration.route("b.example", "/x/1").isEmpty());
    assertEquals(1_000, configuration.maxBodyBytes());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "{} | 16384 | 262144 | 3000 | 15000",
        "{\"max_header_bytes\":1,\"max_body_bytes\":2,\"header_timeout_ms\":3,\"idle_timeout_ms\":4}"
            + " | 1 | 2 | 3 | 4",
        "{\"max_header_bytes\":0,\"max_body_bytes\":-1,\"header_timeout_ms\":\"x\"}"
            + " | 16384 | 262144 | 3000 | 15000",
      })
  void readsTheLimitsOfRequests(String json, int head, int body, long header, long idle) {
    Configuration configuration =
        rows.configuration(
                ByteString.copyFromUtf8("{\"version\":1,\"routes\":[],\"limits\":" + json + "}"))
            .orElseThrow();
    assertEquals(new RequestLimits(head, body, header, idle), configuration.limits());
  }

  @Test
  void rejectsMalformedConfigurations() {
    assertTrue(rows.configuration(ByteString.copyFromUtf8("{}")).isEmpty());
    assertTrue(rows.configuration(ByteString.copyFromUtf8("nonsense")).isEmpty());
  }
}
