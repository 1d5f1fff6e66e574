import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The platform's store: rows with one version counter. Every process has a port of its own. */
final class Store {
  private static final int MAX_ROWS = 500;
  private static final long ANSWER_MILLIS = 3;

  private final World world;
  private final NavigableMap<Name, Row> rows = new TreeMap<>(Name.ORDER);
  private final List<Row> history = new ArrayList<>();
  private long version = 1;

  /** The port of the store for one process. */
  final class Port {
    private final StubServer server;

    Port() throws IOException {
      server = new StubServer(Store.this::serve);
    }

    String address() {
      return server.address();
    }
  }

  private record Name(String table, String part, String key) {
    static final Comparator<Name> ORDER =
        Comparator.comparing(Name::table).thenComparing(Name::part).thenComparing(Name::key);

    static Name of(JsonNode node) {
      return new Name(
          node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
    }
  }

  private record Row(Name name, String value, long version, boolean deleted) {
    void write(ObjectNode node) {
      node.put("table", name.table()).put("part", name.part()).put("key", name.key());
      node.put("schema_version", version);
      if (deleted) {
        node.put("deleted", true);
      } else {
        node.put("value", value);
      }
    }
  }

  Store(World world) {
    this.world = world;
  }

  /** Writes a row of the operator or of a worker. */
  synchronized void put(String table, String key, JsonNode value) {
    byte[] bytes = value.toString().getBytes(StandardCharsets.UTF_8);
    version++;
    set(new Name(table, "", key), Base64.getEncoder().encodeToString(bytes));
    notifyAll();
  }

  /** Removes a row of a worker. */
  synchronized void drop(String table, String key) {
    version++;
    remove(new Name(table, "", key));
    notifyAll();
  }

  private StubServer.Reply serve(StubServer.Call call) throws InterruptedException {
    Thread.sleep(ANSWER_MILLIS);
    return switch (call.path()) {
      case "/v1/rows-tx" -> transact(call.body());
      case "/v1/rows-get" -> get(call);
      case "/v1/rows-feed" -> feed(call);
      default -> new StubServer.Reply(404, StubServer.object());
    };
  }

  private synchronized StubServer.Reply transact(JsonNode body) {
    List<Name> conditions = new ArrayList<>();
    boolean met = true;
    for (JsonNode condition : body.path("expected_revision")) {
      Name name = Name.of(condition);
      conditions.add(name);
      Row row = rows.get(name);
      met &= (row == null ? 0 : row.version()) == condition.path("schema_version").asLong();
    }
    ObjectNode answer = head();
    if (!met) {
      ArrayNode current = answer.putArray("rows");
      conditions.stream()
          .map(rows::get)
          .filter(row -> row != null)
          .forEach(row -> row.write(current.addObject()));
      return new StubServer.Reply(412, answer);
    }
    version++;
    body.path("write").forEach(write -> set(Name.of(write), write.path("value").asText()));
    body.path("remove").forEach(removal -> remove(Name.of(removal)));
    notifyAll();
    return new StubServer.Reply(200, head());
  }

  private synchronized StubServer.Reply get(StubServer.Call call) {
    Name from = new Name(call.query("table"), call.query("part"), call.query("start_key"));
    String to = call.query("to");
    long limit = Math.min(MAX_ROWS, call.number("limit", MAX_ROWS));
    ObjectNode answer = head();
    ArrayNode found = answer.putArray("rows");
    boolean more = false;
    for (Row row : rows.tailMap(from, true).values()) {
      Name name = row.name();
      boolean inside = name.table().equals(from.table()) && name.part().equals(from.part());
      if (!inside || (!to.isEmpty() && name.key().compareTo(to) >= 0)) {
        break;
      }
      if (found.size() >= limit) {
        more = true;
        break;
      }
      row.write(found.addObject());
    }
    return new StubServer.Reply(200, answer.put("has_more", more));
  }

  private synchronized StubServer.Reply feed(StubServer.Call call) throws InterruptedException {
    long after = call.number("depends_on", 0);
    long end = world.now() + call.number("wait_ms", 0);
    List<Row> changes = changes(call.query("table"), after);
    while (changes.isEmpty() && world.now() < end) {
      wait(Math.max(1, end - world.now()));
      changes = changes(call.query("table"), after);
    }
    ObjectNode answer = head();
    ArrayNode found = answer.putArray("rows");
    changes.forEach(row -> row.write(found.addObject()));
    return new StubServer.Reply(200, answer);
  }

  private List<Row> changes(String table, long after) {
    int first = history.size();
    while (first > 0 && history.get(first - 1).version() > after) {
      first--;
    }
    return history.subList(first, history.size()).stream()
        .filter(row -> row.name().table().equals(table))
        .toList();
  }

  private void set(Name name, String value) {
    Row row = new Row(name, value, version, false);
    rows.put(name, row);
    history.add(row);
  }

  private void remove(Name name) {
    if (rows.remove(name) != null) {
      history.add(new Row(name, "", version, true));
    }
  }

  private ObjectNode head() {
    return StubServer.object().put("schema_version", version).put("now_ms", world.now());
  }
}
