package org.hemlockpick.pgm;

import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockpick.pgm.ContractFiles.ContractFile;
import org.jspecify.annotations.Nullable;

/**
 * Puts contracts in force, each one independently of the others.
 *
 * <p>Unless a base revision is given, a change is based on the revision that is in force when the
 * command starts. It is refused if another operator has changed the contract in the meantime.
 */
final class ApplyCommand implements Command {
  private final Console console;
  private final OperatorArguments.Operator operator;
  private String name = "";
  private List<Path> paths = List.of();
  private @Nullable Long base;

  ApplyCommand(Console console, OperatorArguments.Operator operator) {
    this.console = console;
    this.operator = operator;
  }

  static void configure(Subparser command) {
    OperatorArguments.configure(command);
    command
        .addArgument("--operator")
        .metavar("NAME")
        .required(true)
        .help("name that is recorded with the change");
    command
        .addArgument("--base")
        .metavar("REVISION")
        .type(Long.class)
        .help("revision that the change is based on, as diff printed it; 0 for a new contract");
    command.addArgument("paths").metavar("DIR|FILE").nargs("+").help("contracts in TOML");
    command.epilog(
        Messages.examples(
            "hemlockpick apply --url http://127.0.0.1:8081 --key-file examples/zone/operator.key"
                + " --operator kei examples/contracts"));
  }

  static ApplyCommand of(Namespace values, Console console) {
    List<Path> paths = values.<String>getList("paths").stream().map(Path::of).toList();
    return new ApplyCommand(console, OperatorArguments.operator(values))
        .setName(values.getString("operator"))
        .setBase(values.getLong("base"))
        .setPaths(paths);
  }

  /** Sets the operator's name, which is recorded with the change. */
  ApplyCommand setName(String name) {
    this.name = name;
    return this;
  }

  /** Sets the revision that the change is based on, or null for the one in force. */
  ApplyCommand setBase(@Nullable Long revision) {
    base = revision;
    return this;
  }

  /** Sets the contract files and folders. */
  ApplyCommand setPaths(List<Path> paths) {
    this.paths = List.copyOf(paths);
    return this;
  }

  @Override
  public int call() throws IOException {
    List<ContractFile> contracts = ContractFiles.read(paths);
    if (base != null && contracts.size() != 1) {
      throw new UsageException(Messages.BASE_REQUIRES_ONE_CONTRACT);
    }
    boolean allAccepted = true;
    try (ApiClient client = operator.connect()) {
      ContractsInForce inForce = ContractsInForce.read(client);
      for (ContractFile contract : contracts) {
        allAccepted &= apply(client, contract, inForce.of(contract.customer()));
      }
    }
    return allAccepted ? ExitStatus.OK : ExitStatus.FAILURE;
  }

  private boolean apply(ApiClient client, ContractFile contract, ContractsInForce.Entry entry)
      throws IOException {
    if (!contract.faults().isEmpty()) {
      contract.faults().forEach(console.out()::println);
      console.out().println(Messages.refusedFile(contract.file()));
      return false;
    }
    String customer = contract.customer();
    if (base == null && entry.text().equals(contract.text())) {
      console.out().println(Messages.applied(customer, Messages.UNCHANGED, entry.revision()));
      return true;
    }
    JsonObject answer = client.put("/v1/contracts/" + customer, change(contract, entry));
    if (!ApiResults.isDone(answer)) {
      console.out().println(Messages.refusedChange(customer, ApiResults.describe(answer)));
      return false;
    }
    long revision = answer.getJsonNumber("revision").longValue();
    console.out().println(Messages.applied(customer, Messages.ACCEPTED, revision));
    return true;
  }

  private JsonObject change(ContractFile contract, ContractsInForce.Entry entry) {
    return Json.createObjectBuilder()
        .add("baseRevision", base == null ? entry.revision() : base)
        .add("operator", name)
        .add("text", contract.text())
        .build();
  }
}
