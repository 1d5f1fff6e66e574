package org.hemlockpick.platform.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.hemlockpick.platform.soak.StubHttpServer.Call;
import org.hemlockpick.platform.soak.StubHttpServer.Reply;

/** The rows of the table service, with one version counter. Guarded by the world's lock. */
final class Rows {
  private static final int MAX_ROWS = 500;

  /** Largest value of a row. */
  private static final int ROW_BYTES = 4_096;

  private static final int CONFLICT = 412;

  private final World world;
  private final NavigableMap<Name, Row> rows = new TreeMap<>(Name.ORDER);
  private final List<Row> history = new ArrayList<>();
  private long version = 1;

  Rows(World world) {
    this.world = world;
  }

  /** Name of a row, ordered lexicographically. */
  record Name(String table, String part, String key) {
    private static final Comparator<Name> ORDER =
        Comparator.comparing(Name::table).thenComparing(Name::part).thenComparing(Name::key);

    static Name of(JsonNode node) {
      return new Name(
          node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
    }
  }

  /** A row, or the tombstone of a removed one. */
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

  /** Writes a row of the operator or of a worker. */
  void put(String table, String key, JsonNode value) {
    byte[] bytes = value.toString().getBytes(StandardCharsets.UTF_8);
    version++;
    set(new Name(table, "", key), Base64.getEncoder().encodeToString(bytes));
    world.notifyAll();
  }

  /** Removes a row of a worker. */
  void drop(String table, String key) {
    version++;
    remove(new Name(table, "", key));
    world.notifyAll();
  }

  /** Returns a row of a transaction that is too large, with its size. */
  static Optional<String> tooLarge(JsonNode body) {
    for (JsonNode write : body.path("write")) {
      int bytes = Base64.getDecoder().decode(write.path("value").asText()).length;
      if (bytes > ROW_BYTES) {
        return Optional.of(Name.of(write) + " of " + bytes + " bytes");
      }
    }
    return Optional.empty();
  }

  /** Executes a transaction. */
  Reply transact(JsonNode body) {
    List<Name> conditions = new ArrayList<>();
    boolean conditionsMet = true;
    for (JsonNode condition : body.path("expected_revision")) {
      Name name = Name.of(condition);
      conditions.add(name);
      Row row = rows.get(name);
      conditionsMet &=
          (row == null ? 0 : row.version()) == condition.path("schema_version").asLong();
    }
    ObjectNode answer = head();
    if (!conditionsMet) {
      ArrayNode current = answer.putArray("rows");
      for (Name name : conditions) {
        Row row = rows.get(name);
        if (row != null) {
          row.write(current.addObject());
        }
      }
      return Reply.of(CONFLICT, answer);
    }
    version++;
    body.path("write").forEach(write -> set(Name.of(write), write.path("value").asText()));
    body.path("remove").forEach(removal -> remove(Name.of(removal)));
    world.notifyAll();
    return Reply.of(200, head());
  }

  /** Reads a range. */
  Reply get(Call call) {
    Name from = new Name(call.query("table"), call.query("part"), call.query("start_key"));
    String to = call.query("to");
    long limit = call.query("limit").isEmpty() ? MAX_ROWS : call.number("limit");
    ObjectNode answer = head();
    ArrayNode found = answer.putArray("rows");
    boolean more = false;
    for (Row row : rows.tailMap(from, true).values()) {
      Name name = row.name();
      boolean inside = name.table().equals(from.table()) && name.part().equals(from.part());
      if (!inside || (!to.isEmpty() && name.key().compareTo(to) >= 0)) {
        break;
      }
      if (found.size() >= Math.min(limit, MAX_ROWS)) {
        more = true;
        break;
      }
      row.write(found.addObject());
    }
    return Reply.of(200, answer.put("has_more", more));
  }

  /** Waits on the world's lock for changes of a table, and returns them. */
  Reply feed(Call call) throws InterruptedException {
    long after = call.number("depends_on");
    long end = world.now() + call.number("wait_ms");
    List<Row> changes = changes(call.query("table"), after);
    while (changes.isEmpty() && world.now() < end) {
      world.wait(Math.max(1, end - world.now()));
      changes = changes(call.query("table"), after);
    }
    ObjectNode answer = head();
    ArrayNode found = answer.putArray("rows");
    changes.forEach(row -> row.write(found.addObject()));
    return Reply.of(200, answer);
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
    return StubHttpServer.newObject().put("schema_version", version).put("now_ms", world.now());
  }
}
