package org.hemlockpick.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ContractParserTest {
  private static final Path EXAMPLES = Path.of("..", "examples");
  private static final String DIGEST = "0123456789abcdef".repeat(4);

  @Test
  void readsEveryTermOfTheLanternhallExample() throws IOException {
    String text = Files.readString(EXAMPLES.resolve("lanternhall/lanternhall.toml"));
    Contract contract = ContractParser.parse("lanternhall.toml", text, "lanternhall").get();
    assertEquals(300, contract.requestsInFlight());
    assertEquals(2000, contract.requestsPerSecond());
    assertEquals(4, contract.weight());
    assertEquals(
        new ServiceTerms("litepay", Duration.ofSeconds(2), Duration.ofMillis(200), 65_536),
        contract.services().get("litepay"));
    assertEquals(new BatchTerms(60, 5000, Duration.ofHours(8), true), contract.batch());
    assertTrue(
        contract.accepts("a7faf4b84ff79ec6d4e878773213c904f89f8f3f6625704ad65d57543c588383"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"suzaku", "seiryu", "genbu"})
  void readsTheExamplesOfTheWorkshops(String customer) throws IOException {
    String text = Files.readString(EXAMPLES.resolve("orikiri/" + customer + ".toml"));
    Contract contract = ContractParser.parse(customer + ".toml", text, customer).get();
    assertTrue(contract.services().containsKey("pleatdesk"));
    assertTrue(contract.batch().tasks() > 0);
  }

  @Test
  void reportsAllFaultsAtOnceWithTheirLines() {
    String text =
        """
        customer = "Lanternhall"
        wieght = 4
        [keys]
        sha256 = ["%s",
          "%s", "abc"]
        [requests]
        in-flight = "many"
        per-second = 0
        [services.litepay]
        timeout = "200 ms"
        target = "2 s"
        max-body = "64 kB"
        [batch]
        tasks = 0
        deadline = "8 h"
        urgent = 1
        """
            .formatted(DIGEST, DIGEST);
    assertEquals(
        List.of(
            "c.toml:1: customer: must be 1 to 63 characters of lower-case letters, digits and '-'",
            "c.toml:2: wieght: unknown key",
            "c.toml:5: keys.sha256: repeats a digest",
            "c.toml:5: keys.sha256: must be a SHA-256 digest of 64 lower-case hex digits",
            "c.toml:7: requests.in-flight: must be a whole number",
            "c.toml:8: requests.per-second: must be between 1 and 1000000",
            "c.toml:11: services.litepay.target: must not be longer than timeout",
            "c.toml:12: services.litepay.max-body: \"64 kB\" is not a size; write it like \"64"
                + " KiB\"",
            "c.toml:13: batch.job-tasks: is required",
            "c.toml:14: batch.tasks: must be between 1 and 100000",
            "c.toml:16: batch.urgent: must be true or false"),
        faults(text));
  }

  @Test
  void refusesAContractThatGrantsNothing() {
    String text = "customer = \"a\"\n[keys]\nsha256 = [\"" + DIGEST + "\"]\n";
    assertEquals(
        List.of("c.toml:1: services: needs at least one [services.NAME] or [batch]"), faults(text));
  }

  @Test
  void namesTheLineOfATomlSyntaxError() {
    List<String> faults = faults("customer = \"a\"\nweight =\n");
    assertEquals(1, faults.size());
    assertTrue(faults.get(0).startsWith("c.toml:2: "), faults.get(0));
  }

  @Test
  void refusesTheTextOfAnotherCustomer() {
    String text =
        "customer = \"b\"\n[keys]\nsha256 = [\""
            + DIGEST
            + "\"]\n[batch]\ntasks = 1\njob-tasks = 1\ndeadline = \"1 h\"\n";
    assertTrue(ContractParser.parse("c.toml", text).isValid());
    assertEquals(
        "c.toml:1: customer: must be \"a\", the customer whose contract is changed",
        ContractParser.parse("c.toml", text, "a").getError().head().toString());
  }

  private static List<String> faults(String text) {
    return ContractParser.parse("c.toml", text)
        .getError()
        .map(ContractFault::toString)
        .toJavaList();
  }
}
