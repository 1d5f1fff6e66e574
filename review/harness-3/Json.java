import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes JSON. */
final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static JsonNode parse(byte[] bytes) {
    try {
      JsonNode node = bytes.length == 0 ? null : MAPPER.readTree(bytes);
      return node == null ? object() : node;
    } catch (IOException e) {
      return object();
    }
  }

  static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
