package org.hemlockpick.pgm;

import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.io.IOException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Starts the graceful shutdown of an entry instance. */
final class DrainCommand implements Command {
  private final Console console;
  private final OperatorArguments.Operator operator;

  DrainCommand(Console console, OperatorArguments.Operator operator) {
    this.console = console;
    this.operator = operator;
  }

  static void configure(Subparser command) {
    OperatorArguments.configure(command);
    command.epilog(
        Messages.examples(
            "hemlockpick drain --url http://127.0.0.1:8081"
                + " --key-file examples/zone/operator.key"));
  }

  static DrainCommand of(Namespace values, Console console) {
    return new DrainCommand(console, OperatorArguments.operator(values));
  }

  @Override
  public int call() throws IOException {
    try (ApiClient client = operator.connect()) {
      JsonObject answer = client.post("/v1/stop", JsonValue.EMPTY_JSON_OBJECT);
      console.out().println(ApiResults.requireDone(answer).getString("detail"));
    }
    return ExitStatus.OK;
  }
}
