package org.hemlockpick.errors;

/** Holds the messages about contracts that are shown to operators. */
public final class ContractMessages {
  /** A key is not part of the format. */
  public static final String UNKNOWN_KEY = "unknown key";

  /** A required key is absent. */
  public static final String MISSING = "is required";

  /** A name breaks the rule for names. */
  public static final String BAD_NAME =
      "must be 1 to 63 characters of lower-case letters, digits and '-'";

  /** A key digest is not a SHA-256 digest. */
  public static final String BAD_DIGEST = "must be a SHA-256 digest of 64 lower-case hex digits";

  /** A key digest is listed twice. */
  public static final String DUPLICATE_DIGEST = "repeats a digest";

  /** The contract grants neither requests nor batch work. */
  public static final String GRANTS_NOTHING = "needs at least one [services.NAME] or [batch]";

  /** The contract limits requests but names no service. */
  public static final String REQUESTS_WITHOUT_SERVICE = "limits requests, but there is no service";

  /** The target latency of a service exceeds its time limit. */
  public static final String TARGET_ABOVE_TIMEOUT = "must not be longer than timeout";

  /** The name of the operator is missing or too long. */
  public static final String BAD_OPERATOR = "the name of the operator is missing or too long";

  /** The customer has no contract to withdraw. */
  public static final String NOTHING_TO_WITHDRAW = "the customer has no contract to withdraw";

  /** Too many changes are pending at this entry instance. */
  public static final String QUEUE_FULL = "too many changes wait at this entry instance";

  /** The table service did not reply and nothing was written. */
  public static final String NOT_WRITTEN = "the table service does not answer; nothing was written";

  /** The table service did not reply and the change may have been written. */
  public static final String MAYBE_WRITTEN =
      "the table service does not answer; read the contract again before you repeat the change";

  private ContractMessages() {}

  /** Returns the message for a value of the wrong type. */
  public static String wrongType(String accepted) {
    return "must be " + accepted;
  }

  /** Returns the message for a value outside the accepted range. */
  public static String outOfRange(String min, String max) {
    return "must be between " + min + " and " + max;
  }

  /** Returns the message for a text that names another customer than the call. */
  public static String otherCustomer(String customer) {
    return "must be \"" + customer + "\", the customer whose contract is changed";
  }

  /** Returns the message for a change that is not based on the newest revision. */
  public static String conflict(String customer, long revision, String operator) {
    if (revision == 0) {
      return customer + " has no contract yet; its revision is 0";
    }
    return customer + " is at revision " + revision + ", changed by " + operator;
  }

  /** Returns the message for a contract log that is not completely read yet. */
  public static String logNotRead(long known) {
    return "the table service has not given the whole log of contracts; known up to " + known;
  }

  /** Returns the message for a peer that knows newer contracts. */
  public static String behindPeer(String peer, long peerVersion, long known) {
    return "peer " + peer + " has contracts up to " + peerVersion + "; known up to " + known;
  }
}
