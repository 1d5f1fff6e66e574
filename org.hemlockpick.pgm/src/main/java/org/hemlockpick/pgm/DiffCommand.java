package org.hemlockpick.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockpick.pgm.ContractFiles.ContractFile;

/** Compares contract files with the contracts in force. */
final class DiffCommand implements Command {
  private final Console console;
  private final OperatorArguments.Operator operator;
  private List<Path> paths = List.of();

  DiffCommand(Console console, OperatorArguments.Operator operator) {
    this.console = console;
    this.operator = operator;
  }

  static void configure(Subparser command) {
    OperatorArguments.configure(command);
    command.addArgument("paths").metavar("DIR|FILE").nargs("+").help("contracts in TOML");
    command.epilog(
        Messages.examples(
            "hemlockpick diff --url http://127.0.0.1:8081 --key-file examples/zone/operator.key"
                + " examples/contracts"));
  }

  static DiffCommand of(Namespace values, Console console) {
    List<Path> paths = values.<String>getList("paths").stream().map(Path::of).toList();
    return new DiffCommand(console, OperatorArguments.operator(values)).setPaths(paths);
  }

  /** Sets the contract files and folders. */
  DiffCommand setPaths(List<Path> paths) {
    this.paths = List.copyOf(paths);
    return this;
  }

  @Override
  public int call() throws IOException {
    List<ContractFile> contracts = ContractFiles.read(paths);
    boolean anyFault = false;
    try (ApiClient client = operator.connect()) {
      ContractsInForce inForce = ContractsInForce.read(client);
      for (ContractFile contract : contracts) {
        anyFault |= !contract.faults().isEmpty();
        show(contract, inForce.of(contract.customer()));
      }
    }
    return anyFault ? ExitStatus.FAILURE : ExitStatus.OK;
  }

  private void show(ContractFile contract, ContractsInForce.Entry entry) {
    if (!contract.faults().isEmpty()) {
      contract.faults().forEach(console.out()::println);
      return;
    }
    String state = state(contract, entry);
    console.out().println(Messages.compared(contract.customer(), state, entry.revision()));
    if (state.equals(Messages.CHANGED)) {
      LineDiff.of(entry.text(), contract.text()).forEach(console.out()::println);
    }
  }

  private static String state(ContractFile contract, ContractsInForce.Entry entry) {
    if (entry.text().isEmpty()) {
      return Messages.NEW;
    }
    return entry.text().equals(contract.text()) ? Messages.UNCHANGED : Messages.CHANGED;
  }
}
