import java.nio.file.Path;

/** Runs a case: Main NUMBER. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise. */
final class Main {
  private Main() {}

  public static void main(String[] arguments) throws Exception {
    // Without it, small answers wait for the peer's delayed acknowledgement.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    String number = arguments[0];
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    World world = new World(Path.of("review", number, "record.txt"));
    int status = 2;
    try {
      switch (number) {
        case "1" -> RemovedRouteCase.run(world, isTroubled);
        case "2" -> EarlierBirthCase.run(world, isTroubled);
        default -> throw new IllegalArgumentException("no case " + number);
      }
      status = world.violations().isEmpty() ? 0 : 1;
    } catch (Exception e) {
      world.log("the case could not run: %s", e);
    }
    world.log("exit status %d", status);
    System.exit(status);
  }
}
