package org.hemlockpick.daemon.admission;

import java.util.Optional;
import org.hemlockpick.cell.RequestLimits;
import org.hemlockpick.errors.ResultCode;

/** Decides about requests by their heads; called on several threads. */
public interface CallerPolicy {
  /** Returns the limits in force. */
  RequestLimits limits();

  /**
   * Returns why a request with a body is refused before its body is read; empty if it is not.
   *
   * @param method method of the request
   * @param host host without a port; empty if the request names none
   * @param path raw path without the query
   */
  Optional<ResultCode> refusal(String method, String host, String path);

  /** Encodes the JSON body of a refusal. */
  byte[] encode(ResultCode code);
}
