package org.hemlockpick.transport.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.hemlockpick.cell.DecisionLog;
import org.hemlockpick.proto.CallFate;

/** Logs failed calls, with at most one line per second for an address. */
final class CallFailureLog {
  /** Minimum time between two lines for an address, in milliseconds. */
  private static final long MIN_LINE_INTERVAL_MILLIS = 1_000;

  /** Maximum number of addresses of which the last line is remembered. */
  private static final int MAX_ADDRESSES = 1_024;

  private final DecisionLog log;
  private final LongSupplier clock;
  private final Map<String, LoggedFailure> lastLogged =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, LoggedFailure> eldest) {
          return size() > MAX_ADDRESSES;
        }
      };

  /**
   * The last line that was logged for an address.
   *
   * @param atMillis time on the monotonic clock
   * @param suppressed failures since then that were not logged
   */
  private record LoggedFailure(long atMillis, int suppressed) {}

  /**
   * Creates a log that remembers no lines.
   *
   * @param log receives the lines
   * @param clock monotonic clock, in milliseconds
   */
  CallFailureLog(DecisionLog log, LongSupplier clock) {
    this.log = log;
    this.clock = clock;
  }

  /**
   * Logs a failed call, or counts it if the address had a line within the minimum time; may be
   * called on any thread.
   *
   * @param fate outcome of the call
   * @param reason why it failed
   */
  synchronized void onFailed(String address, HttpCall call, CallFate fate, String reason) {
    long now = clock.getAsLong();
    LoggedFailure last = lastLogged.get(address);
    if (last != null && now - last.atMillis() < MIN_LINE_INTERVAL_MILLIS) {
      lastLogged.put(address, new LoggedFailure(last.atMillis(), last.suppressed() + 1));
      return;
    }
    String more =
        last == null || last.suppressed() == 0
            ? ""
            : ", " + last.suppressed() + " more since last told";
    lastLogged.put(address, new LoggedFailure(now, 0));
    log.decided("call", address, fate.name(), name(call) + ": " + reason + more);
  }

  /** Returns the method and the path without its query. */
  private static String name(HttpCall call) {
    int query = call.path().indexOf('?');
    return call.method() + " " + (query < 0 ? call.path() : call.path().substring(0, query));
  }
}
