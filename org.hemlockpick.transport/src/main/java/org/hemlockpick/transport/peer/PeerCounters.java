package org.hemlockpick.transport.peer;

/**
 * Traffic counters of a {@link PeerLink} since its start.
 *
 * @param sent messages handed to a connection
 * @param received messages handed to the receiver
 * @param dropped messages that were not sent: no connection, too large or full buffer
 * @param badFrames frames that were too large, broken or meant for another entry instance
 * @param reconnects connections opened in place of an earlier one
 * @param silences connections closed because nothing arrived on them in time
 * @param bytesIn bytes received, without the headers of TCP and IP
 * @param bytesOut bytes sent, without the headers of TCP and IP
 */
public record PeerCounters(
    long sent,
    long received,
    long dropped,
    long badFrames,
    long reconnects,
    long silences,
    long bytesIn,
    long bytesOut) {}
