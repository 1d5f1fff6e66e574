package org.hemlockpick.transport.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.hemlockpick.cell.DecisionLog;
import org.hemlockpick.proto.CallFate;

/** Tells of calls that failed, with at most one line a second for an address. */
final class CallFailureLog {
  /** Least time between two lines for an address, in milliseconds. */
  private static final long MIN_LINE_INTERVAL_MILLIS = 1_000;

  /** Most addresses of which the time of the last line is kept. */
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
   * When an address was told last.
   *
   * @param atMillis time on the steady clock
   * @param suppressed failures since then
   */
  private record LoggedFailure(long atMillis, int suppressed) {}

  /**
   * Creates it.
   *
   * @param log takes the lines
   * @param clock steady clock, in milliseconds
   */
  CallFailureLog(DecisionLog log, LongSupplier clock) {
    this.log = log;
    this.clock = clock;
  }

  /**
   * Takes note that a call failed; may be called on any thread.
   *
   * @param fate what became of the call
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
