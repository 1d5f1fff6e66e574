package org.hemlockpick.pgm;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockpick.contract.ContractFault;
import org.hemlockpick.contract.ContractParser;
import org.hemlockpick.daemon.CellSettingsReader;
import org.hemlockpick.daemon.SettingsFault;
import org.hemlockpick.daemon.SettingsReader;
import org.hemlockpick.util.DepthLimitedToml;
import org.tomlj.TomlParseResult;

/** Checks settings and contract files offline and prints one fault per line. */
final class CheckCommand implements Command {
  private static final List<String> SETTINGS_KEYS =
      List.of("instance", "listen", "platform", "roster");
  private static final Path CONTRACT_FOLDER = Path.of("contracts");

  private final Console console;
  private List<Path> files = List.of();

  CheckCommand(Console console) {
    this.console = console;
  }

  static void configure(Subparser command) {
    command.addArgument("files").metavar("FILE").nargs("+").help("settings or contracts in TOML");
    command.epilog(
        Messages.examples(
            "hemlockpick check examples/zone/entry-a-1.toml",
            "hemlockpick check examples/contracts/*.toml"));
  }

  static CheckCommand of(Namespace values, Console console) {
    List<Path> files = values.<String>getList("files").stream().map(Path::of).toList();
    return new CheckCommand(console).setFiles(files);
  }

  /** Sets the files to check. */
  CheckCommand setFiles(List<Path> files) {
    this.files = List.copyOf(files);
    return this;
  }

  @Override
  public int call() {
    List<String> faults = files.stream().flatMap(file -> check(file).stream()).toList();
    faults.forEach(console.out()::println);
    if (!faults.isEmpty()) {
      return ExitStatus.FAILURE;
    }
    console.out().println(Messages.NO_FAULTS);
    return ExitStatus.OK;
  }

  private static List<String> check(Path file) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      return List.of(Messages.fault(file.toString(), Messages.unreadable(e)));
    }
    return check(file, text);
  }

  private static List<String> check(Path file, String text) {
    TomlParseResult toml = DepthLimitedToml.parse(text);
    if (CellSettingsReader.isCellSettings(toml)) {
      return faultLines(CellSettingsReader.read(file.toString(), text));
    }
    if (SETTINGS_KEYS.stream().anyMatch(key -> toml.contains(List.of(key)))) {
      return settingsFaults(file, text);
    }
    if (toml.contains(List.of("customer")) || isInContractFolder(file)) {
      return contractFaults(file, text);
    }
    return toml.hasErrors()
        ? settingsFaults(file, text)
        : List.of(Messages.fault(file.toString(), Messages.UNKNOWN_FILE_KIND));
  }

  private static boolean isInContractFolder(Path file) {
    Path folder = file.toAbsolutePath().getParent();
    return folder != null && folder.endsWith(CONTRACT_FOLDER);
  }

  private static List<String> settingsFaults(Path file, String text) {
    return faultLines(SettingsReader.read(file.toString(), text));
  }

  private static List<String> faultLines(Either<List<SettingsFault>, ?> read) {
    return read.fold(
        faults -> faults.stream().map(SettingsFault::toString).toList(), ok -> List.of());
  }

  private static List<String> contractFaults(Path file, String text) {
    return ContractParser.parse(file.toString(), text)
        .fold(faults -> faults.map(ContractFault::toString).toJavaList(), contract -> List.of());
  }
}
