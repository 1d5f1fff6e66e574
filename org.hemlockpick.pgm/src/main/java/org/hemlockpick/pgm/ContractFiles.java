package org.hemlockpick.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.hemlockpick.contract.ContractFault;
import org.hemlockpick.contract.ContractParser;

/** Reads contract files, given as files or folders. */
final class ContractFiles {
  private static final String SUFFIX = ".toml";

  private ContractFiles() {}

  /**
   * One contract file.
   *
   * @param file path of the file
   * @param text content of the file
   * @param customer name of the customer; empty if the contract has faults
   * @param faults faults of the contract, one line each
   */
  record ContractFile(Path file, String text, String customer, List<String> faults) {}

  /**
   * Reads the given contract files in their order, and for a folder its {@code .toml} files sorted
   * by name.
   *
   * @throws IOException if a file cannot be read or no contract is found
   */
  static List<ContractFile> read(List<Path> paths) throws IOException {
    List<ContractFile> contracts = new ArrayList<>();
    for (Path path : paths) {
      for (Path file : files(path)) {
        contracts.add(readFile(file));
      }
    }
    if (contracts.isEmpty()) {
      throw new IOException(Messages.NO_CONTRACTS);
    }
    return contracts;
  }

  private static List<Path> files(Path path) throws IOException {
    if (!Files.exists(path)) {
      throw new IOException(Messages.noSuchFile(path));
    }
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> files = Files.list(path)) {
      return files.filter(file -> file.toString().endsWith(SUFFIX)).sorted().toList();
    }
  }

  private static ContractFile readFile(Path file) throws IOException {
    String text = Files.readString(file);
    return ContractParser.parse(file.toString(), text)
        .fold(
            faults ->
                new ContractFile(file, text, "", faults.map(ContractFault::toString).toJavaList()),
            contract -> new ContractFile(file, text, contract.customer(), List.of()));
  }
}
