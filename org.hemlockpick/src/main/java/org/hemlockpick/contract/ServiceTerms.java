package org.hemlockpick.contract;

import java.time.Duration;

/**
 * Holds the terms of a contract for one latency-critical service.
 *
 * @param name name of the service
 * @param timeout maximum time that a request may take; also the default for requests without a time
 *     limit
 * @param target time within which 99 of 100 requests should be answered
 * @param maxBodyBytes maximum size of the body of a request, in bytes
 */
public record ServiceTerms(String name, Duration timeout, Duration target, int maxBodyBytes) {}
