package org.hemlockpick.internal.ownership;

/**
 * Identifies one attempt to run a request on a worker. Sequence numbers are never reused within an
 * incarnation.
 *
 * @param epoch epoch of the lease under which it was sent
 * @param sequence number of the attempt
 * @param sentAt time at which it was sent, in milliseconds on the loop's clock
 */
public record RequestAttempt(long epoch, long sequence, long sentAt) {}
