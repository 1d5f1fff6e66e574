package org.hemlockpick.pgm;

import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Begins or ends the evacuation of an availability zone. */
final class EvacuateCommand implements Command {
  private final Console console;
  private final OperatorArguments.Operator operator;
  private String name = "";
  private String zone = "";
  private boolean end;

  EvacuateCommand(Console console, OperatorArguments.Operator operator) {
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
    command.addArgument("--end").action(Arguments.storeTrue()).help("end the evacuation");
    command.addArgument("zone").metavar("ZONE").help("availability zone");
    String arguments =
        " --url http://127.0.0.1:8081 --key-file examples/zone/operator.key --operator kei zone-a";
    command.epilog(
        Messages.examples(
            "hemlockpick evacuate" + arguments, "hemlockpick evacuate --end" + arguments));
  }

  static EvacuateCommand of(Namespace values, Console console) {
    return new EvacuateCommand(console, OperatorArguments.operator(values))
        .setName(values.getString("operator"))
        .setZone(values.getString("zone"))
        .setEnd(values.getBoolean("end"));
  }

  /** Sets the operator's name, which is recorded with the change. */
  EvacuateCommand setName(String name) {
    this.name = name;
    return this;
  }

  /** Sets the availability zone. */
  EvacuateCommand setZone(String zone) {
    this.zone = zone;
    return this;
  }

  /** Sets whether the evacuation is ended instead of begun. */
  EvacuateCommand setEnd(boolean end) {
    this.end = end;
    return this;
  }

  @Override
  public int call() throws IOException {
    try (ApiClient client = operator.connect()) {
      String path = "/v1/evacuations/" + encode(zone);
      JsonObject answer =
          end
              ? client.delete(path + "?operator=" + encode(name))
              : client.put(path, Json.createObjectBuilder().add("operator", name).build());
      console.out().println(ApiResults.requireDone(answer).getString("detail"));
    }
    return ExitStatus.OK;
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
