package org.hemlockpick.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.hemlockpick.contract.ContractFault;
import org.hemlockpick.contract.ContractParser;

/** Reads contracts from files and folders. */
final class ContractFiles {
  private static final String SUFFIX = ".toml";

  private ContractFiles() {}

  /**
   * Holds one contract as it stands in its file.
   *
   * @param file file that holds the contract
   * @param text its text
   * @param customer name of the customer; empty if the contract has faults
   * @param faults faults, each as one line
   */
  record ContractFile(Path file, String text, String customer, List<String> faults) {}

  /**
   * Reads all contracts of files and folders, in the order of the names.
   *
   * @throws IOException if a file cannot be read or there is none
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
