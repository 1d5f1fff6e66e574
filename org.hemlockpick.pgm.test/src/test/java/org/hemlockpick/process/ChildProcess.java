package org.hemlockpick.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.pgm.Main;

/** Runs one command of the program as a child process, which is killed when the tests exit. */
public final class ChildProcess {
  private static final long EXIT_TIMEOUT_SECONDS = 60;
  private static final List<String> JAVA_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xss512k",
          "-Xmx192m",
          "-Djava.util.logging.manager=org.jboss.logmanager.LogManager");
  private static final Set<Process> running = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(ChildProcess::killAll, "kill-children"));
  }

  private final Process process;
  private final Path out;
  private final Path log;

  private ChildProcess(Process process, Path out, Path log) {
    this.process = process;
    this.out = out;
    this.log = log;
  }

  /**
   * Starts a command.
   *
   * @param folder folder of the output and the log
   * @param name name of the files; a process with a reused name appends to the log
   * @param arguments arguments of the program
   */
  static ChildProcess start(Path folder, String name, String... arguments) throws IOException {
    Path out = folder.resolve(name + ".out");
    Path log = folder.resolve(name + ".log");
    Process process =
        new ProcessBuilder(command(arguments))
            .redirectOutput(out.toFile())
            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    running.add(process);
    return new ChildProcess(process, out, log);
  }

  /**
   * Starts a command whose output and errors are appended to one file, to which an earlier process
   * may still be writing.
   *
   * @param directory working directory
   */
  public static ChildProcess start(Path log, Path directory, List<String> command)
      throws IOException {
    Process process =
        new ProcessBuilder(command)
            .directory(directory.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    running.add(process);
    return new ChildProcess(process, log, log);
  }

  /** Returns the identifier of the process. */
  public long pid() {
    return process.pid();
  }

  /** Returns what the process wrote to its standard output. */
  String out() throws IOException {
    return Files.readString(out);
  }

  Path log() {
    return log;
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** Waits for the exit and returns its status. */
  public int waitFor() {
    int status =
        process.onExit().orTimeout(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).join().exitValue();
    running.remove(process);
    return status;
  }

  /** Sends SIGTERM. */
  public void terminate() {
    process.destroy();
  }

  /** Sends SIGKILL and waits for the exit. */
  public void kill() {
    process.destroyForcibly();
    int unused = waitFor();
  }

  /** Sends SIGHUP. */
  public void reload() throws IOException, InterruptedException {
    signal("-HUP");
  }

  /** Sends SIGSTOP. */
  public void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /** Sends SIGCONT. */
  public void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    Process kill = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
    if (kill.waitFor() != 0) {
      throw new AssertionError("kill " + signal + " failed");
    }
  }

  private static List<String> command(String... arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JAVA_FLAGS);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(Main.class.getName());
    command.addAll(List.of(arguments));
    return command;
  }

  private static void killAll() {
    running.forEach(Process::destroyForcibly);
  }
}
