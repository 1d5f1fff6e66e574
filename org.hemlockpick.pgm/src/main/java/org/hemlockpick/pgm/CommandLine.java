package org.hemlockpick.pgm;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiFunction;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.jspecify.annotations.Nullable;

/** Parses the arguments and runs the command that they select. */
public final class CommandLine {
  private static final String FACTORY = "factory";
  private static final String NAME = "command";

  private final Console console;
  private final Set<String> names = new HashSet<>();
  private final ArgumentParser parser;

  /** Creates a command line whose commands write to a console. */
  public CommandLine(Console console) {
    this.console = console;
    parser =
        ArgumentParsers.newFor(Messages.PROGRAM)
            .build()
            .description(Messages.DESCRIPTION)
            .epilog(Messages.EXIT_STATUSES);
    Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND").dest(NAME);
    add(commands, ServeCommand.NAME, Messages.SERVE, ServeCommand::configure, ServeCommand::of);
    add(commands, "check", Messages.CHECK, CheckCommand::configure, CheckCommand::of);
    add(commands, "diff", Messages.DIFF, DiffCommand::configure, DiffCommand::of);
    add(commands, "apply", Messages.APPLY, ApplyCommand::configure, ApplyCommand::of);
    add(commands, "status", Messages.STATUS, StatusCommand::configure, StatusCommand::of);
    add(commands, "drain", Messages.DRAIN, DrainCommand::configure, DrainCommand::of);
    add(commands, "evacuate", Messages.EVACUATE, EvacuateCommand::configure, EvacuateCommand::of);
    add(commands, "timeline", Messages.TIMELINE, TimelineCommand::configure, TimelineCommand::of);
    add(commands, "explain", Messages.EXPLAIN, ExplainCommand::configure, ExplainCommand::of);
    add(commands, "replay", Messages.REPLAY, ReplayCommand::configure, ReplayCommand::of);
    add(commands, "stand-in", Messages.STAND_IN, StandInCommand::configure, StandInCommand::of);
    add(commands, "demo", Messages.DEMO, DemoCommand::configure, DemoCommand::of);
  }

  /**
   * Runs the command that the arguments select.
   *
   * @return exit status of the process
   */
  public int run(String... args) {
    try {
      Namespace values = parser.parseArgs(args);
      BiFunction<Namespace, Console, Command> factory = values.get(FACTORY);
      return factory.apply(values, console).call();
    } catch (HelpScreenException e) {
      return ExitStatus.OK;
    } catch (ArgumentParserException e) {
      console.err().println(Messages.usage(oneLine(e.getMessage()), commandOf(args)));
      return ExitStatus.USAGE;
    } catch (UsageException e) {
      console.err().println(Messages.usage(oneLine(e.getMessage()), commandOf(args)));
      return ExitStatus.USAGE;
    } catch (IOException e) {
      console.err().println(Messages.failure(oneLine(e.getMessage())));
      return ExitStatus.FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitStatus.FAILURE;
    }
  }

  private void add(
      Subparsers commands,
      String name,
      String help,
      ParserConfigurer configurer,
      BiFunction<Namespace, Console, Command> factory) {
    names.add(name);
    Subparser command = commands.addParser(name).help(help).description(help);
    configurer.configure(command);
    command.setDefault(FACTORY, factory);
  }

  private String commandOf(String... args) {
    return args.length > 0 && names.contains(args[0]) ? args[0] : "";
  }

  private static String oneLine(@Nullable String message) {
    return String.valueOf(message).replaceAll("\\s*\\R\\s*", " ").strip();
  }

  /** Adds the arguments and examples of a command to its parser. */
  @FunctionalInterface
  private interface ParserConfigurer {
    void configure(Subparser command);
  }
}
