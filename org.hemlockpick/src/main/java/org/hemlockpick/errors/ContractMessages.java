package org.hemlockpick.errors;

/** Holds the texts on contracts that operators read. */
public final class ContractMessages {
  /** A key that the format does not have. */
  public static final String UNKNOWN_KEY = "unknown key";

  /** A required key is absent. */
  public static final String MISSING = "is required";

  /** A name breaks the rule for names. */
  public static final String BAD_NAME =
      "must be 1 to 63 characters of lower-case letters, digits and '-'";

  /** A key digest is no SHA-256 digest. */
  public static final String BAD_DIGEST = "must be a SHA-256 digest of 64 lower-case hex digits";

  /** A key digest is listed twice. */
  public static final String DUPLICATE_DIGEST = "repeats a digest";

  /** The contract grants neither requests nor batch work. */
  public static final String GRANTS_NOTHING = "needs at least one [services.NAME] or [batch]";

  /** Limits for requests without a service. */
  public static final String REQUESTS_WITHOUT_SERVICE = "limits requests, but there is no service";

  /** A target that the time limit of the service can't meet. */
  public static final String TARGET_ABOVE_TIMEOUT = "must not be longer than timeout";

  /** The name of the operator is missing or too long. */
  public static final String BAD_OPERATOR = "the name of the operator is missing or too long";

  /** There is nothing to withdraw. */
  public static final String NOTHING_TO_WITHDRAW = "the customer has no contract to withdraw";

  /** Too many changes wait at this entry instance. */
  public static final String QUEUE_FULL = "too many changes wait at this entry instance";

  /** The table service did not answer and nothing was written. */
  public static final String NOT_WRITTEN = "the table service does not answer; nothing was written";

  /** The table service did not answer and the change may have been written. */
  public static final String MAYBE_WRITTEN =
      "the table service does not answer; read the contract again before you repeat the change";

  private ContractMessages() {}

  /** Says that a value has another type than is accepted. */
  public static String wrongType(String accepted) {
    return "must be " + accepted;
  }

  /** Says which values are accepted. */
  public static String outOfRange(String min, String max) {
    return "must be between " + min + " and " + max;
  }

  /** Says that the text names another customer than the call. */
  public static String otherCustomer(String customer) {
    return "must be \"" + customer + "\", the customer whose contract is changed";
  }

  /** Names the change that came first. */
  public static String conflict(String customer, long revision, String operator) {
    if (revision == 0) {
      return customer + " has no contract yet; its revision is 0";
    }
    return customer + " is at revision " + revision + ", changed by " + operator;
  }

  /** Says that the log of contracts has not been read yet. */
  public static String logNotRead(long known) {
    return "the table service has not given the whole log of contracts; known up to " + known;
  }

  /** Says that a peer knows newer contracts. */
  public static String behindPeer(String peer, long peerVersion, long known) {
    return "peer " + peer + " has contracts up to " + peerVersion + "; known up to " + known;
  }
}
