package org.hemlockpick.pgm;

import jakarta.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;

/** Help texts, results and error messages of the command line. */
final class Messages {
  static final String PROGRAM = "hemlockpick";
  static final String DESCRIPTION =
      "Runs and operates entry instances that schedule latency-critical and batch work.";
  static final String EXIT_STATUSES =
      "Exit status: 0 done, 1 failed or faults found, 2 wrong usage or settings.";

  static final String SERVE = "serve as an entry instance until stopped";
  static final String CHECK = "check settings and contracts; print each fault on a line";
  static final String APPLY = "put contracts in force, each on its own";
  static final String DIFF = "compare contracts with those in force";
  static final String STATUS = "show what an entry instance knows";
  static final String DRAIN = "begin the planned stop of an entry instance";
  static final String EVACUATE = "move work out of an availability zone, or end that";
  static final String TIMELINE = "merge logs into one time line in causal order";
  static final String EXPLAIN = "gather what was decided about one job, over several logs";
  static final String REPLAY = "run a recorded trace again and compare its outputs";
  static final String STAND_IN = "run stand-ins for the platform, for tests and trials";
  static final String DEMO = "run a whole zone in this process and send it work";

  static final String NO_FAULTS = "no faults";
  static final String STAND_INS_RUNNING = "stand-ins run; end them with SIGTERM";
  static final String UNKNOWN_FILE_KIND =
      "neither settings (an [instance] section) nor a contract (customer)";
  static final String NO_CONTRACTS = "no contracts (*.toml) found";
  static final String KEY_FILE_EMPTY = "the key file is empty";
  static final String BASE_REQUIRES_ONE_CONTRACT = "--base needs exactly one contract";
  static final String WORKERS_REQUIRE_ADDRESSES =
      "--only worker needs --instance-list and --object-store";

  static final String NEW = "new";
  static final String CHANGED = "changed";
  static final String UNCHANGED = "unchanged";
  static final String ACCEPTED = "accepted";
  static final String LAST_LINE_TRUNCATED = "the last line is cut off and was not run";

  static final String DEMO_READY = "the entry instances to get ready";
  static final String DEMO_IN_FORCE = "the contract to be in force everywhere";
  static final String DEMO_JOB_DONE = "the job to finish";
  static final String DEMO_STARTED = "three entry instances and three workers run";
  static final String DEMO_CONTRACT = "a contract is in force at all three";
  static final String DEMO_IDEMPOTENT = "an idempotent request is done";
  static final String DEMO_REPEATED =
      "a non-idempotent request ran once; its repetition elsewhere got the same answer";
  static final String DEMO_JOB = "a batch job is finished";
  static final String DEMO_RAN_AGAIN = "the repeated request was sent to a worker again";
  static final String DEMO_ANSWERS_DIFFER = "the repeated request got another answer";

  private Messages() {}

  static String usage(String reason, String command) {
    String name = command.isEmpty() ? PROGRAM : PROGRAM + " " + command;
    return PROGRAM + ": " + reason + "; see " + name + " --help";
  }

  static String failure(String reason) {
    return PROGRAM + ": " + reason;
  }

  static String examples(String... lines) {
    return "examples:\n  " + String.join("\n  ", lines) + "\n" + EXIT_STATUSES;
  }

  static String noAnswer(String url, String reason) {
    return "no answer from " + url + ": " + reason;
  }

  static String refused(int code, String result, String detail) {
    return result + " (" + code + "): " + detail;
  }

  static String fault(String file, String message) {
    return file + ":1: " + message;
  }

  static String skippedLines(int lines) {
    return lines + " lines without a timeline entry were skipped";
  }

  static String replayed(long ticks, long inputs, String hash) {
    return "equal: " + ticks + " ticks, " + inputs + " inputs, outputs " + hash;
  }

  static String unreadable(IOException reason) {
    return "cannot be read: " + reason.getClass().getSimpleName();
  }

  static String noSuchFile(Path path) {
    return path + " is missing or cannot be read";
  }

  static String noKeyFile(Path path) {
    return "the key file " + path + " is missing or cannot be read";
  }

  static String notUrl(String text) {
    return "--url must be an http URL, not " + text;
  }

  static String outOfRange(String option, int max) {
    return option + " must be from 0 to " + max;
  }

  static String compared(String customer, String state, long revision) {
    return customer + ": " + state + ", revision " + revision + " in force";
  }

  static String applied(String customer, String state, long revision) {
    return customer + ": " + state + ", revision " + revision;
  }

  static String refusedChange(String customer, String reason) {
    return customer + ": refused, " + reason;
  }

  static String refusedFile(Path file) {
    return file + ": refused, it has faults";
  }

  static String worker(JsonObject worker) {
    return "worker "
        + worker.getString("worker")
        + ": epoch "
        + worker.get("epoch")
        + ", slots "
        + worker.get("slotsUsed")
        + "/"
        + worker.get("slots")
        + ", tasks "
        + worker.get("tasks")
        + (worker.getBoolean("leaving") ? ", leaving" : "");
  }

  static String evacuation(JsonObject evacuation) {
    return "evacuated "
        + evacuation.getString("zone")
        + ": since "
        + Instant.ofEpochMilli(evacuation.getJsonNumber("sinceMillis").longValue())
        + ", operator "
        + evacuation.getString("operator")
        + ", requests "
        + evacuation.get("requests")
        + ", tasks "
        + evacuation.get("tasks");
  }

  static String demoTimeout(String goal) {
    return "waited too long for " + goal;
  }

  static String cannotListen(int port, Exception reason) {
    return "cannot listen at port " + port + ": " + reason.getMessage();
  }

  static String noLinesAbout(String id) {
    return "hemlockpick: no line of these logs is about " + id;
  }

  static String settled(String id, DecisionLine line) {
    return id
        + " ended as "
        + line.outcome()
        + ", as decided by "
        + line.instance()
        + ": "
        + line.reason();
  }

  static String notSeenByHolder(String id, DecisionLine line) {
    return id
        + " was never seen by a holder; its last answer was "
        + line.outcome()
        + " by "
        + line.instance()
        + " after "
        + line.reason();
  }

  static String notSettled(String id, DecisionLine line) {
    return id + " has not ended; the newest line is: " + line;
  }
}
