package org.hemlockpick.pgm;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Entry point of the command line. */
public final class Main {
  private Main() {}

  /** Parses the arguments; exits with 0 after help and with 2 for wrong usage. */
  public static void main(String[] args) {
    ArgumentParser parser =
        ArgumentParsers.newFor("hemlockpick").build().description("Hemlockpick command line.");
    try {
      parser.parseArgs(args);
    } catch (HelpScreenException e) {
      parser.handleError(e);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(2);
    }
  }
}
