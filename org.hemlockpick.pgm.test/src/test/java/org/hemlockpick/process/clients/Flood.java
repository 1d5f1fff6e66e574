package org.hemlockpick.process.clients;

import java.nio.charset.StandardCharsets;

/**
 * What each of several connections sends: a beginning once, and then a unit again and again. The
 * connection stays open afterwards.
 *
 * @param connections number of connections
 * @param bytes bytes that are sent after the beginning
 * @param piece most bytes that a connection sends at a time
 * @param reads whether the client reads what the server sends
 */
record Flood(int connections, String beginning, String unit, int bytes, int piece, boolean reads) {
  static final int MEBIBYTE = 1_024 * 1_024;

  /** Largest body of the platform's published limits, in bytes. */
  static final int MAX_BODY_BYTES = 262_144;

  private static final String HOST = "Host: 127.0.0.1\r\n";
  private static final int MANY = 40;
  private static final int LARGE_PIECE = 65_536;
  private static final int SMALL_PIECE = 8_192;

  /**
   * Bodies of legal size that together are as large as the heap and the direct memory of the
   * process: 240 times 256 KiB is 48 MiB and 12 MiB.
   */
  private static final int BODIES = 240;

  /** Bytes of a head that is just within the limit of 16,384 bytes but never complete. */
  private static final int INCOMPLETE_HEAD_BYTES = 16_000;

  /** More connections than the process may have descriptors. */
  static Flood idleConnections() {
    return new Flood(ServerProcess.DESCRIPTORS + MANY, "", "", 0, SMALL_PIECE, true);
  }

  static Flood headsOverTheLimit() {
    return new Flood(MANY, "GET /none/x HTTP/1.1\r\nX: ", "a", 2 * MEBIBYTE, LARGE_PIECE, false);
  }

  static Flood headsWithoutEnd() {
    String beginning = "GET /none/x HTTP/1.1\r\n" + HOST;
    return new Flood(BODIES, beginning, "X: a\r\n", INCOMPLETE_HEAD_BYTES, SMALL_PIECE, true);
  }

  static Flood emptyLines() {
    return new Flood(MANY, "", "\r\n", 2 * MEBIBYTE, LARGE_PIECE, false);
  }

  static Flood wholeBodies(String path) {
    return bodies(path, MAX_BODY_BYTES, LARGE_PIECE);
  }

  static Flood bodiesInPieces(String path) {
    return bodies(path, MAX_BODY_BYTES, SMALL_PIECE);
  }

  static Flood bodiesWithoutTheirLastByte(String path) {
    return bodies(path, MAX_BODY_BYTES - 1, LARGE_PIECE);
  }

  /** Requests to a path without route, 26,000 of them on each connection. */
  static Flood pipelinedRequests() {
    String request = "GET /none/x HTTP/1.1\r\n" + HOST + "\r\n";
    return new Flood(MANY, "", request, MEBIBYTE, LARGE_PIECE, false);
  }

  private static Flood bodies(String path, int bytes, int piece) {
    String head = "POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n";
    return new Flood(BODIES, head.formatted(path, HOST, MAX_BODY_BYTES), "x", bytes, piece, true);
  }

  byte[] content() {
    String text = beginning + unit.repeat(bytes / Math.max(1, unit.length()));
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
