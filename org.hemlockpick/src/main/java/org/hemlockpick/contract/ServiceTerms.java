package org.hemlockpick.contract;

import java.time.Duration;

/**
 * Holds what a contract grants for one latency-critical service.
 *
 * @param name name of the service
 * @param timeout longest time that a request may take; a request without a time limit gets this one
 * @param target time within which 99 of 100 requests should be answered
 * @param maxBodyBytes largest body of a request, in bytes
 */
public record ServiceTerms(String name, Duration timeout, Duration target, int maxBodyBytes) {}
