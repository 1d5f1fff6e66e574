package org.hemlockpick.errors;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Lists the numbered results of calls to an entry instance.
 *
 * <p>The numbers are part of the wire format and never change their meaning. {@code
 * docs/RESULT-CODES.md} has the same table for callers and operators.
 */
public enum ResultCode {
  /** The work ran and its response is complete. */
  DONE(0, Effect.RAN, 200, "done"),

  /** The call is malformed. */
  BAD_REQUEST(100, Effect.NOT_RUN, 400, "the call is malformed"),
  /** The customer is unknown or its key is wrong. */
  NOT_AUTHENTICATED(101, Effect.NOT_RUN, 401, "unknown customer or wrong key"),
  /** The contract of the customer does not name this service. */
  UNKNOWN_SERVICE(102, Effect.NOT_RUN, 404, "the contract does not name this service"),
  /** The deadline had passed before the work was sent to a backend server. */
  DEADLINE_PASSED(103, Effect.NOT_RUN, 504, "the deadline passed before the work was sent"),
  /** The body exceeds the accepted size, or the job in it has too many tasks. */
  TOO_LARGE(104, Effect.NOT_RUN, 413, "the body is too large or its job has too many tasks"),
  /** A non-idempotent request carries no idempotency key. */
  KEY_REQUIRED(105, Effect.NOT_RUN, 400, "a non-idempotent request needs an idempotency key"),
  /** The idempotency key belongs to another request. */
  KEY_REUSED(106, Effect.NOT_RUN, 422, "the idempotency key belongs to another request"),

  /** The customer has reached a limit of its contract at this entry instance. */
  OVER_LIMIT(110, Effect.NOT_RUN, 429, "the limit of the contract is reached"),
  /** All slots are taken and the wait would exceed the deadline. */
  OVERLOADED(111, Effect.NOT_RUN, 503, "all slots are taken"),
  /** The entry instance is in a planned stop. */
  STOPPING(112, Effect.NOT_RUN, 503, "this entry instance is stopping"),
  /** The entry instance has not learned the contracts in force yet. */
  NOT_READY(113, Effect.NOT_RUN, 503, "this entry instance is starting"),
  /** The table service does not answer and the call needs it. */
  STORE_UNREACHABLE(114, Effect.NOT_RUN, 503, "the table service does not answer"),
  /** No worker can be reached. */
  NO_WORKER(115, Effect.NOT_RUN, 503, "no worker can take the work"),
  /** Every availability zone that could serve the request is evacuated. */
  EVACUATED(116, Effect.NOT_RUN, 503, "every zone that could serve the request is evacuated"),

  /** The work ran at the backend server and failed there. */
  FAILED(200, Effect.RAN, 502, "the work ran and failed"),
  /** The work was sent, but it is not known whether it ran. */
  OUTCOME_UNKNOWN(201, Effect.UNKNOWN, 504, "whether the work ran is not known"),
  /** A request with the same idempotency key was started before and has no recorded answer yet. */
  IN_PROGRESS(202, Effect.UNKNOWN, 409, "a request with this idempotency key is in progress"),

  /** A request with the same idempotency key ran; its answer was too large to be kept. */
  ANSWER_NOT_KEPT(203, Effect.RAN, 410, "the request ran before; its answer was not kept"),

  /** The customer has no such job. */
  UNKNOWN_JOB(300, Effect.NOT_RUN, 404, "the customer has no such job"),
  /** A task of the job requires more than any worker could ever provide. */
  JOB_NEVER_FITS(301, Effect.NOT_RUN, 422, "no worker could ever run a task of this job"),

  /** The contract has faults; the detail names each with its line and key. */
  CONTRACT_INVALID(310, Effect.NOT_RUN, 422, "the contract is not valid"),
  /** Another change was accepted since the version that this one was based on. */
  CONTRACT_CONFLICT(311, Effect.NOT_RUN, 409, "the contract was changed by another operator"),

  /** No entry instance of the roster is in the availability zone. */
  UNKNOWN_ZONE(320, Effect.NOT_RUN, 404, "no entry instance is in this zone"),

  /** The entry instance had an internal error. */
  INTERNAL(900, Effect.UNKNOWN, 500, "internal error");

  /** Describes whether the work ran, as far as a result shows. */
  public enum Effect {
    /** The work ran to completion. */
    RAN,
    /** The work did not run and never will under this call. */
    NOT_RUN,
    /** The work may have run, may be running or may still run. */
    UNKNOWN
  }

  private static final Map<Integer, ResultCode> BY_NUMBER =
      Arrays.stream(values()).collect(Collectors.toMap(ResultCode::number, Function.identity()));

  private final int number;
  private final Effect effect;
  private final int httpStatus;
  private final String text;

  ResultCode(int number, Effect effect, int httpStatus, String text) {
    this.number = number;
    this.effect = effect;
    this.httpStatus = httpStatus;
    this.text = text;
  }

  /**
   * Returns the code with the given number.
   *
   * @param number number from the wire
   * @return the code, or {@link #INTERNAL} if this version does not know the number
   */
  public static ResultCode of(int number) {
    return BY_NUMBER.getOrDefault(number, INTERNAL);
  }

  /** Returns the number used on the wire. */
  public int number() {
    return number;
  }

  /** Returns whether the work ran, as far as this result shows. */
  public Effect effect() {
    return effect;
  }

  /** Returns the HTTP status of this result. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns a short description in English for messages. */
  public String text() {
    return text;
  }
}
