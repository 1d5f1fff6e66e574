import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The platform's table service: linearizable rows with one version counter, and a feed. */
final class Store {
  private static final long TRANSACTION_MILLIS = 3;
  private static final int MAX_ROWS = 500;
  private static final int MAX_BYTES = 1_000_000;
  private static final int ROW_BYTES = 65_536;

  private final World world;
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final List<Row> history = new ArrayList<>();
  private final String address;
  private long version;

  /** Transactions that it selects are done late, and get no answer. */
  private volatile Predicate<JsonNode> late = transaction -> false;

  private volatile long lateMillis;

  record Row(String table, String part, String key, String value, long version, boolean deleted) {
    ObjectNode json() {
      ObjectNode node = World.JSON.createObjectNode();
      node.put("table", table).put("part", part).put("key", key);
      node.put("value", value).put("schema_version", version);
      if (deleted) {
        node.put("deleted", true);
      }
      return node;
    }
  }

  Store(World world) throws IOException {
    this.world = world;
    this.address = world.serve(this::handle);
  }

  String address() {
    return address;
  }

  /** From now on the transactions that match are done after a time, and get no answer. */
  void doLate(Predicate<JsonNode> which, long millis) {
    late = which;
    lateMillis = millis;
  }

  /** Writes a row as the operator or a worker does. */
  synchronized void put(String table, String key, byte[] value) {
    write(table, "", key, java.util.Base64.getEncoder().encodeToString(value), ++version);
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    if (rows(table, "").containsKey(key)) {
      drop(table, "", key, ++version);
      notifyAll();
    }
  }

  /** Returns the keys of a table over all parts. */
  synchronized boolean has(String table, String key) {
    for (Map.Entry<String, TreeMap<String, Row>> entry : tables.entrySet()) {
      if (entry.getKey().startsWith(table + "|") && entry.getValue().containsKey(key)) {
        return true;
      }
    }
    return false;
  }

  private World.Reply handle(HttpExchange call, byte[] body) throws Exception {
    String path = call.getRequestURI().getPath();
    Map<String, String> query = query(call.getRequestURI().getRawQuery());
    switch (path) {
      case "/v1/rows-tx":
        JsonNode transaction = World.JSON.readTree(body);
        if (late.test(transaction)) {
          world.log("store: a write gets no answer and is done " + lateMillis + " ms later");
          World.sleep(lateMillis);
          world.log("store: the late write is done: " + transact(transaction).status());
          return new World.Reply(0, "");
        }
        World.sleep(TRANSACTION_MILLIS);
        return transact(transaction);
      case "/v1/rows-get":
        return get(query);
      case "/v1/rows-feed":
        return feed(query);
      default:
        return new World.Reply(400, "{}");
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int at = pair.indexOf('=');
      query.put(
          pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private TreeMap<String, Row> rows(String table, String part) {
    return tables.computeIfAbsent(table + "|" + part, key -> new TreeMap<>());
  }

  private synchronized World.Reply transact(JsonNode body) {
    ArrayNode current = World.JSON.createArrayNode();
    boolean holds = true;
    int entries = 0;
    for (JsonNode row : body.path("expected_revision")) {
      Row found = rows(text(row, "table"), text(row, "part")).get(text(row, "key"));
      holds &= (found == null ? 0 : found.version()) == row.path("schema_version").asLong();
      if (found != null) {
        current.add(found.json());
      }
      entries++;
    }
    boolean tooLarge = false;
    for (JsonNode row : body.path("write")) {
      tooLarge |= row.path("value").asText().length() * 3L / 4 > ROW_BYTES;
      entries++;
    }
    if (tooLarge || entries + body.path("remove").size() > 100) {
      return new World.Reply(400, "{}");
    }
    if (!holds) {
      ObjectNode reply = answer();
      reply.set("rows", current);
      return new World.Reply(412, reply.toString());
    }
    version++;
    for (JsonNode row : body.path("write")) {
      write(text(row, "table"), text(row, "part"), text(row, "key"), text(row, "value"), version);
    }
    for (JsonNode row : body.path("remove")) {
      drop(text(row, "table"), text(row, "part"), text(row, "key"), version);
    }
    notifyAll();
    return new World.Reply(200, answer().toString());
  }

  private static String text(JsonNode node, String field) {
    return node.path(field).asText();
  }

  private ObjectNode answer() {
    return World.JSON.createObjectNode().put("schema_version", version).put("now_ms", world.now());
  }

  private void write(String table, String part, String key, String value, long at) {
    Row row = new Row(table, part, key, value, at, false);
    rows(table, part).put(key, row);
    history.add(row);
  }

  private void drop(String table, String part, String key, long at) {
    if (rows(table, part).remove(key) != null) {
      history.add(new Row(table, part, key, "", at, true));
    }
  }

  private synchronized World.Reply get(Map<String, String> query) {
    TreeMap<String, Row> rows = rows(query.get("table"), query.getOrDefault("part", ""));
    String to = query.get("to");
    int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
    ArrayNode found = World.JSON.createArrayNode();
    long bytes = 0;
    boolean more = false;
    for (Row row : rows.tailMap(query.getOrDefault("start_key", "")).values()) {
      if (to != null && row.key().compareTo(to) >= 0) {
        break;
      }
      if (found.size() >= limit || bytes > MAX_BYTES) {
        more = true;
        break;
      }
      found.add(row.json());
      bytes += row.value().length();
    }
    ObjectNode reply = answer();
    reply.set("rows", found);
    reply.put("has_more", more);
    return new World.Reply(200, reply.toString());
  }

  private synchronized World.Reply feed(Map<String, String> query) throws InterruptedException {
    String table = query.get("table");
    long after = Long.parseLong(query.get("depends_on"));
    long until = world.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    while (true) {
      ArrayNode found = World.JSON.createArrayNode();
      long bytes = 0;
      long reached = version;
      for (int i = firstAfter(after); i < history.size(); i++) {
        Row row = history.get(i);
        if (!row.table().equals(table)) {
          continue;
        }
        if (bytes > MAX_BYTES && row.version() > reached) {
          break;
        }
        found.add(row.json());
        bytes += row.value().length();
        if (bytes > MAX_BYTES) {
          reached = row.version();
        }
      }
      long left = until - world.now();
      if (!found.isEmpty() || left <= 0) {
        ObjectNode reply = World.JSON.createObjectNode();
        reply.put("schema_version", reached).put("now_ms", world.now());
        reply.set("rows", found);
        return new World.Reply(200, reply.toString());
      }
      wait(left);
    }
  }

  /** Returns the index of the first change after a version. */
  private int firstAfter(long after) {
    int low = 0;
    int high = history.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (history.get(middle).version() > after) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }
}
