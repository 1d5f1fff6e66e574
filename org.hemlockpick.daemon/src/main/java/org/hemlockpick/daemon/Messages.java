package org.hemlockpick.daemon;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** Texts that this module shows to callers and operators. */
final class Messages {
  static final String LINE_NOT_WRITTEN = "cannot write a log line";
  static final String SIGNAL_NOT_HANDLED = "SIGHUP is not handled and would end the process";
  static final String MISSING = "the key is missing";
  static final String UNKNOWN_KEY = "unknown key";
  static final String UNKNOWN_SECTION = "unknown section";
  static final String NOT_A_TABLE = "must be a section";
  static final String NOT_A_ROSTER = "must be a list of [[roster]] sections";
  static final String NOT_A_STRING = "must be a string";
  static final String NOT_A_NUMBER = "must be a number";
  static final String NOT_A_LIST = "must be a list";
  static final String BAD_NAME = "must be lower-case letters, digits and hyphens, at most 63";
  static final String BAD_ADDRESS = "must be host:port with a port of 0 to 65535";
  static final String BAD_URL = "must be an http URL with a host and a port";
  static final String BAD_PATH = "must be a path";
  static final String BAD_DIGEST = "must hold SHA-256 digests of 64 lower-case hex digits";
  static final String SAME_ADDRESS = "is the same as the address for callers";
  static final String LEASE_TOO_SHORT = "must be more than twice lease-renewal";
  static final String PEER_TIMEOUT_TOO_SHORT = "must be more than twice heartbeat";
  static final String PEER_ADDRESS_DIFFERS =
      "differs from the peers address of this entry instance in the roster";

  static final String NO_SUCH_PATH = "unknown path";
  static final String WRONG_METHOD = "this path does not take this method";
  static final String BODY_TOO_LARGE = "the body is too large";
  static final String BODY_NOT_JSON = "the body is not JSON";
  static final String BODY_NOT_OBJECT = "the body must be a JSON object";
  static final String OPERATOR_KEY_WRONG = "this path needs the key of an operator";
  static final String KEY_MISSING = "the header X-Hemlockpick-Key is missing";
  static final String QUEUE_FULL = "too many calls wait for the loop";
  static final String SHUTTING_DOWN = "the process ends";
  static final String STOP_BEGUN = "the planned stop has begun";
  static final String LOOP_UNRESPONSIVE = "the loop does not turn";
  static final String STILL_STARTING = "starting";
  static final String BAD_BASE64 = "must be base64";
  static final String TWO_PAYLOADS = "give payload or payloadBase64, not both";

  static final String NOT_WHOLE_NUMBER = "must be a whole number";
  static final String NOT_A_BOOLEAN = "must be true or false";
  static final String FIELD_MISSING = "is missing";
  static final String FIELD_UNKNOWN = "is unknown";
  static final String ACTION_FAILED = "an action of the loop failed";
  static final String LOOP_FAILED = "the loop ends on an error";
  static final String TICK_FAILED = "the loop stops: a tick failed on inputs {0}";
  static final String OUTPUT_FAILED = "an output of kind {0} could not be performed";

  static final String TRACE_FAILED = "the recording of inputs stops: {0}";
  static final String TRACE_EMPTY = "the trace has no first line";

  static final String STARTED =
      "entry instance %s incarnation %d seed %d serves callers at port %d";
  static final String STOP_REQUESTED = "entry instance {0} begins its planned stop";
  static final String STOP_COMPLETE = "entry instance {0} has stopped";
  static final String STOP_TOO_SLOW = "entry instance {0} did not stop in time";

  static final String CONNECTIONS_STILL_OPEN =
      "connections of callers were still open at the shutdown";

  static final String LINE_NOT_JSON = "not JSON";

  private Messages() {}

  static String notOnRoster(String name, String zone) {
    return "the roster has no entry instance " + name + " in zone " + zone;
  }

  static String duplicateName(String name) {
    return "the roster has more than one " + name;
  }

  static String duplicateAddress(String address) {
    return "the roster has " + address + " more than once";
  }

  static String outOfRange(String min, String max) {
    return "must be from " + min + " to " + max;
  }

  static String notWholeNumberFrom(long min) {
    return "must be a whole number of at least " + min;
  }

  static String amountOutOfRange(double max) {
    return "must be above 0 and at most " + max;
  }

  static String fractionOutOfRange(double limit) {
    return "must be at least 0 and less than " + limit;
  }

  static String notOneOf(Class<? extends Enum<?>> type) {
    return Arrays.stream(type.getEnumConstants())
        .map(choice -> choice.name().toLowerCase(Locale.ROOT))
        .collect(Collectors.joining(", ", "must be one of: ", ""));
  }

  static String unreadable(String reason) {
    return "cannot be read: " + reason;
  }

  static String field(String name, String problem) {
    return "field " + name + " " + problem;
  }

  static String traceLineUnreadable(int line, String reason) {
    return "line " + line + " of the trace cannot be read: " + reason;
  }

  static String replayDiffers(int line, long atMillis) {
    return "line " + line + ": the outputs differ from the recorded ones at " + atMillis + " ms";
  }

  static String cannotServe(InetSocketAddress callers, Exception reason) {
    return "cannot serve callers at " + callers + ": " + reason.getMessage();
  }
}
