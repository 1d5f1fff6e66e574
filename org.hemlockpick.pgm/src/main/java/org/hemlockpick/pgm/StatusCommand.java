package org.hemlockpick.pgm;

import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.io.IOException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Prints the status of an entry instance, including its view of its peers and workers. */
final class StatusCommand implements Command {
  private final Console console;
  private final OperatorArguments.Operator operator;
  private boolean json;

  StatusCommand(Console console, OperatorArguments.Operator operator) {
    this.console = console;
    this.operator = operator;
  }

  static void configure(Subparser command) {
    OperatorArguments.configure(command);
    command.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    command.epilog(
        Messages.examples(
            "hemlockpick status --url http://127.0.0.1:8081 --key-file examples/zone/operator.key",
            "hemlockpick status --url http://127.0.0.1:8081 --key-file examples/zone/operator.key"
                + " --json"));
  }

  static StatusCommand of(Namespace values, Console console) {
    return new StatusCommand(console, OperatorArguments.operator(values))
        .setJson(values.getBoolean("json"));
  }

  /** Sets whether the status is printed as JSON. */
  StatusCommand setJson(boolean json) {
    this.json = json;
    return this;
  }

  @Override
  public int call() throws IOException {
    try (ApiClient client = operator.connect()) {
      JsonObject answer = ApiResults.requireDone(client.get("/v1/status"));
      JsonObject status = answer.getJsonObject("status");
      if (json) {
        console.out().println(status);
      } else {
        show(status);
      }
    }
    return ExitStatus.OK;
  }

  private void show(JsonObject status) {
    status.forEach(this::show);
    for (JsonObject each : status.getJsonArray("evacuations").getValuesAs(JsonObject.class)) {
      console.out().println(Messages.evacuation(each));
    }
    for (JsonObject worker : status.getJsonArray("workers").getValuesAs(JsonObject.class)) {
      console.out().println(Messages.worker(worker));
    }
  }

  private void show(String name, JsonValue value) {
    if (!name.equals("workers") && !name.equals("evacuations")) {
      console.out().println(name + ": " + value);
    }
  }
}
