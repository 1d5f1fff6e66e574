package org.hemlockpick.contract;

import io.vavr.collection.Seq;
import io.vavr.control.Validation;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.hemlockpick.errors.ContractMessages;
import org.hemlockpick.util.DepthLimitedToml;
import org.jspecify.annotations.Nullable;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/** Parses contracts from TOML, in the format that {@code docs/CONTRACTS.md} describes. */
public final class ContractParser {
  /** Maximum number of key digests in one contract. */
  static final int MAX_KEYS = 8;

  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
  private static final int MAX_WEIGHT = 100;
  private static final int MAX_REQUESTS = 1_000_000;
  private static final int MAX_TASKS = 100_000;
  private static final String MIN_TIME = "1 ms";
  private static final String MAX_TIMEOUT = "5 min";
  private static final String MIN_DEADLINE = "1 min";
  private static final String MAX_DEADLINE = "720 h";
  private static final String MIN_BODY = "1 B";
  private static final String MAX_BODY = "1 MiB";
  private static final String DEFAULT_BODY = "64 KiB";

  private final FaultList faults;
  private final @Nullable String expectedCustomer;

  private ContractParser(FaultList faults, @Nullable String expectedCustomer) {
    this.faults = faults;
    this.expectedCustomer = expectedCustomer;
  }

  /**
   * Parses a contract.
   *
   * @param file name of the file, for messages only
   * @param text the contract as TOML
   * @return the contract, or all its faults in the order of the text
   */
  public static Validation<Seq<ContractFault>, Contract> parse(String file, String text) {
    return new ContractParser(new FaultList(file, text), null).parse(text);
  }

  /**
   * Parses the contract of a known customer.
   *
   * @param file name of the file, for messages only
   * @param text the contract as TOML
   * @param customer the customer that the contract must name
   * @return the contract, or all its faults in the order of the text
   */
  public static Validation<Seq<ContractFault>, Contract> parse(
      String file, String text, String customer) {
    return new ContractParser(new FaultList(file, text), customer).parse(text);
  }

  private Validation<Seq<ContractFault>, Contract> parse(String text) {
    TomlParseResult toml = DepthLimitedToml.parse(text);
    for (TomlParseError error : toml.errors()) {
      faults.add(error.position(), "", String.valueOf(error.getMessage()));
    }
    if (!faults.isEmpty()) {
      return Validation.invalid(faults.inOrder());
    }
    TomlPosition start = TomlPosition.positionAt(1, 1);
    Contract contract = contract(new TomlTableReader(faults, toml, start, ""));
    return faults.isEmpty() ? Validation.valid(contract) : Validation.invalid(faults.inOrder());
  }

  private Contract contract(TomlTableReader root) {
    root.allowOnly("customer", "weight", "keys", "requests", "services", "batch");
    String customer = customer(root);
    int weight = root.integer("weight", 1, MAX_WEIGHT, 1);
    List<String> digests = digests(root);
    Map<String, ServiceTerms> services = services(root);
    TomlTableReader requests = requests(root);
    int inFlight = limit(requests, "in-flight");
    int perSecond = limit(requests, "per-second");
    BatchTerms batch = batch(root);
    if (!root.has("services") && !root.has("batch")) {
      root.fault("services", ContractMessages.GRANTS_NOTHING);
    }
    return new Contract(customer, digests, inFlight, perSecond, weight, services, batch);
  }

  private String customer(TomlTableReader root) {
    String customer = root.name("customer");
    String expected = expectedCustomer == null ? customer : expectedCustomer;
    if (root.has("customer") && !customer.equals(expected)) {
      root.fault("customer", ContractMessages.otherCustomer(expected));
    }
    return customer;
  }

  private List<String> digests(TomlTableReader root) {
    TomlTableReader keys = root.table("keys");
    if (keys == null) {
      requireKey(root, "keys");
      return List.of();
    }
    keys.allowOnly("sha256");
    List<String> digests = keys.strings("sha256", MAX_KEYS);
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < digests.size(); i++) {
      if (!DIGEST.matcher(digests.get(i)).matches()) {
        keys.elementFault("sha256", i, ContractMessages.BAD_DIGEST);
      } else if (!seen.add(digests.get(i))) {
        keys.elementFault("sha256", i, ContractMessages.DUPLICATE_DIGEST);
      }
    }
    return digests;
  }

  private @Nullable TomlTableReader requests(TomlTableReader root) {
    TomlTableReader requests = root.table("requests");
    if (requests == null) {
      if (root.has("services")) {
        requireKey(root, "requests");
      }
      return null;
    }
    requests.allowOnly("in-flight", "per-second");
    if (!root.has("services")) {
      root.fault("requests", ContractMessages.REQUESTS_WITHOUT_SERVICE);
    }
    return requests;
  }

  private static int limit(@Nullable TomlTableReader requests, String key) {
    return requests == null ? 0 : requests.integer(key, 1, MAX_REQUESTS);
  }

  private static Map<String, ServiceTerms> services(TomlTableReader root) {
    Map<String, ServiceTerms> services = new TreeMap<>();
    TomlTableReader table = root.table("services");
    if (table == null) {
      return services;
    }
    if (table.keys().isEmpty()) {
      root.fault("services", ContractMessages.GRANTS_NOTHING);
    }
    for (String name : table.keys()) {
      TomlTableReader service = table.table(name);
      if (!TomlTableReader.isName(name)) {
        table.fault(name, ContractMessages.BAD_NAME);
      }
      if (service != null) {
        services.put(name, service(name, service));
      }
    }
    return services;
  }

  private static ServiceTerms service(String name, TomlTableReader table) {
    table.allowOnly("timeout", "target", "max-body");
    Duration timeout = table.duration("timeout", MIN_TIME, MAX_TIMEOUT);
    Duration target = table.duration("target", MIN_TIME, MAX_TIMEOUT);
    int maxBody = table.bytes("max-body", MIN_BODY, MAX_BODY, DEFAULT_BODY);
    if (timeout != null && target != null && target.compareTo(timeout) > 0) {
      table.fault("target", ContractMessages.TARGET_ABOVE_TIMEOUT);
    }
    return new ServiceTerms(name, orZero(timeout), orZero(target), maxBody);
  }

  private static BatchTerms batch(TomlTableReader root) {
    TomlTableReader table = root.table("batch");
    if (table == null) {
      return BatchTerms.none();
    }
    table.allowOnly("tasks", "job-tasks", "deadline", "urgent");
    int tasks = table.integer("tasks", 1, MAX_TASKS);
    int jobTasks = table.integer("job-tasks", 1, MAX_TASKS);
    Duration deadline = table.duration("deadline", MIN_DEADLINE, MAX_DEADLINE);
    return new BatchTerms(tasks, jobTasks, orZero(deadline), table.flag("urgent"));
  }

  private static void requireKey(TomlTableReader root, String key) {
    if (!root.has(key)) {
      root.fault(key, ContractMessages.MISSING);
    }
  }

  private static Duration orZero(@Nullable Duration duration) {
    return duration == null ? Duration.ZERO : duration;
  }
}
