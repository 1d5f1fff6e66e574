package org.hemlockpick.transport;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A connection of a caller that sends its requests in parts and sees how the connection ends. */
public final class RawConnection implements AutoCloseable {
  private static final int ANSWER_TIMEOUT_MILLIS = 30_000;
  private static final String BODY = "{}";

  private final Socket socket = new Socket();

  public RawConnection(InetSocketAddress address) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(address, ANSWER_TIMEOUT_MILLIS);
  }

  /** Sends the head of a request whose body is to follow. */
  public void sendHead() throws IOException {
    send(head(""));
  }

  /**
   * Sends the head of a request whose body is to follow, and waits for the interim answer, which
   * shows that the server has read the head.
   */
  public void sendHeadAndAwaitItsReading() throws IOException {
    send(head("Expect: 100-continue\r\n"));
    String answer = readAnswer();
    if (!answer.startsWith("http/1.1 100")) {
      throw new AssertionError(answer);
    }
  }

  public void sendBody() throws IOException {
    send(BODY);
  }

  /** Sends a request without a body. */
  public void get(String path) throws IOException {
    send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
  }

  /**
   * Waits without sending anything and returns whether the server has closed the connection.
   *
   * @throws IOException if the connection was reset
   */
  public boolean isClosedWithin(int millis) throws IOException {
    socket.setSoTimeout(millis);
    try {
      int read = socket.getInputStream().read();
      if (read >= 0) {
        throw new AssertionError("an answer without a request begins with " + (char) read);
      }
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    }
  }

  /** Returns whether the server closes the connection without being sent anything else. */
  public boolean isClosed() throws IOException {
    return isClosedWithin(ANSWER_TIMEOUT_MILLIS);
  }

  /**
   * Reads a whole answer.
   *
   * @return its head, in lower case
   * @throws EOFException if the connection ended before the answer was whole
   */
  public String readAnswer() throws IOException {
    socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
      bytes.write(readByte());
    }
    String head = bytes.toString(StandardCharsets.US_ASCII).toLowerCase(Locale.ROOT);
    for (int left = contentLength(head); left > 0; left--) {
      int unused = readByte();
    }
    return head;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private static String head(String header) {
    return "POST /prefix/0123456789abcdef HTTP/1.1\r\nHost: h\r\n"
        + header
        + ("Content-Length: " + BODY.length() + "\r\n\r\n");
  }

  /** Sends any text. */
  public void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private int readByte() throws IOException {
    int read = socket.getInputStream().read();
    if (read < 0) {
      throw new EOFException("the connection ended before the answer");
    }
    return read;
  }

  private static int contentLength(String head) {
    return head.lines()
        .filter(line -> line.startsWith("content-length:"))
        .mapToInt(line -> Integer.parseInt(line.substring(line.indexOf(':') + 1).strip()))
        .findFirst()
        .orElse(0);
  }
}
