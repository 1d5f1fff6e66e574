import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller: one request on a connection of its own. */
final class Client {
  /** An answer; the status is 0 if none came in time. */
  record Answer(int status, String body) {}

  private Client() {}

  static Answer call(
      String ip, int port, String method, String path, String host, String body, int waitMillis) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, port), waitMillis);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(waitMillis);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nDeadline-Ms: " + waitMillis
              + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
              + bytes.length + "\r\n\r\n";
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.write(head.getBytes(StandardCharsets.UTF_8));
      request.write(bytes);
      socket.getOutputStream().write(request.toByteArray());
      socket.getOutputStream().flush();
      return read(socket.getInputStream());
    } catch (IOException e) {
      return new Answer(0, "");
    }
  }

  private static Answer read(InputStream in) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    byte[] buffer = new byte[8_192];
    while (true) {
      int length = in.read(buffer);
      if (length < 0) {
        break;
      }
      all.write(buffer, 0, length);
      Answer answer = parse(all.toString(StandardCharsets.UTF_8));
      if (answer != null) {
        return answer;
      }
    }
    return new Answer(0, "");
  }

  /** Returns the answer in a text; null if it is not complete. */
  private static Answer parse(String text) {
    int end = text.indexOf("\r\n\r\n");
    if (end < 0) {
      return null;
    }
    int length = 0;
    for (String line : text.substring(0, end).split("\r\n")) {
      if (line.toLowerCase().startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).strip());
      }
    }
    String body = text.substring(end + 4);
    return body.length() < length
        ? null
        : new Answer(Integer.parseInt(text.split(" ")[1]), body);
  }
}
