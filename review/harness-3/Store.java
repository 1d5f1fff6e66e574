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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: rows in tables, as PROTOCOL.md describes it, with its limits. */
final class Store {
  static final int ROW_BYTES = 65_536;
  private static final int MAX_TX_ENTRIES = 100;
  private static final int MAX_BYTES = 1_000_000;
  private static final int MAX_ROWS = 500;
  private static final Pattern HOLDER = Pattern.compile("(edge-[0-9]+)(@[0-9.:]+/[a-z0-9]+)");

  record Name(String table, String part, String key) {
    static final Comparator<Name> ORDER =
        Comparator.comparing(Name::table).thenComparing(Name::part).thenComparing(Name::key);

    static Name of(JsonNode node) {
      return new Name(
          node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
    }
  }

  record Row(Name name, String value, long version, boolean deleted) {
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

  private final Log log;
  private final NavigableMap<Name, Row> rows = new TreeMap<>(Name.ORDER);
  private final List<Row> history = new ArrayList<>();
  private long version = 1;
  final Web web;

  /** Name of the instance that wrote the row of the cell's lease last. */
  private String holder = "";

  private String holderProcess = "";
  private long claims;

  Store(Log log) throws IOException {
    this.log = log;
    this.web = new Web(this::handle);
  }

  synchronized void put(String table, String key, JsonNode value) {
    version++;
    set(new Name(table, "", key), Base64.getEncoder().encodeToString(Json.bytes(value)));
    notifyAll();
  }

  synchronized void drop(String table, String key) {
    version++;
    remove(new Name(table, "", key));
    notifyAll();
  }

  synchronized String holder() {
    return holder;
  }

  /** Returns how often another process has taken the cell. */
  synchronized long claims() {
    return claims;
  }

  /** Notes which instance holds the cell; its name stands in the row of the lease. */
  private void noteHolder(JsonNode body) {
    for (JsonNode write : body.path("write")) {
      if (write.path("table").asText().equals("cells") && write.path("key").asText().equals("c0")) {
        byte[] value = Base64.getDecoder().decode(write.path("value").asText());
        Matcher name = HOLDER.matcher(new String(value, StandardCharsets.ISO_8859_1));
        if (name.find() && !name.group().equals(holderProcess)) {
          holderProcess = name.group();
          holder = name.group(1);
          claims++;
          log.say("the cell is held by " + holder);
        }
      }
    }
  }

  private Web.Reply handle(Web.Call call) throws InterruptedException {
    Thread.sleep(3);
    return switch (call.path()) {
      case "/v1/rows-tx" -> transact(call.body());
      case "/v1/rows-get" -> get(call);
      case "/v1/rows-feed" -> feed(call);
      default -> new Web.Reply(404, Json.object());
    };
  }

  private static String tooLarge(JsonNode body) {
    int entries =
        body.path("expected_revision").size()
            + body.path("write").size()
            + body.path("remove").size();
    if (entries > MAX_TX_ENTRIES) {
      return entries + " entries";
    }
    long sum = 0;
    for (JsonNode write : body.path("write")) {
      int bytes = Base64.getDecoder().decode(write.path("value").asText()).length;
      if (bytes > ROW_BYTES) {
        return write.path("table").asText() + "/" + write.path("key").asText() + " of " + bytes;
      }
      sum += write.path("value").asText().length();
    }
    return sum > MAX_BYTES ? sum + " bytes" : null;
  }

  private synchronized Web.Reply transact(JsonNode body) {
    String large = tooLarge(body);
    if (large != null) {
      log.add("store refuses with 400: " + large);
      return new Web.Reply(400, head().put("error", large));
    }
    List<Name> conditions = new ArrayList<>();
    boolean met = true;
    for (JsonNode condition : body.path("expected_revision")) {
      Name name = Name.of(condition);
      conditions.add(name);
      Row row = rows.get(name);
      met &= (row == null ? 0 : row.version()) == condition.path("schema_version").asLong();
    }
    if (!met) {
      ObjectNode answer = head();
      ArrayNode current = answer.putArray("rows");
      for (Name name : conditions) {
        Row row = rows.get(name);
        if (row != null) {
          row.write(current.addObject());
        }
      }
      return new Web.Reply(412, answer);
    }
    version++;
    noteHolder(body);
    body.path("write").forEach(write -> set(Name.of(write), write.path("value").asText()));
    body.path("remove").forEach(removal -> remove(Name.of(removal)));
    notifyAll();
    return new Web.Reply(200, head());
  }

  private synchronized Web.Reply get(Web.Call call) {
    Name from = new Name(call.query("table"), call.query("part"), call.query("start_key"));
    String to = call.query("to");
    ObjectNode answer = head();
    ArrayNode found = answer.putArray("rows");
    boolean more = false;
    long bytes = 0;
    for (Row row : rows.tailMap(from, true).values()) {
      Name name = row.name();
      boolean inside = name.table().equals(from.table()) && name.part().equals(from.part());
      if (!inside || (!to.isEmpty() && name.key().compareTo(to) >= 0)) {
        break;
      }
      bytes += row.value().length();
      if (found.size() >= MAX_ROWS || (bytes > MAX_BYTES && found.size() > 0)) {
        more = true;
        break;
      }
      row.write(found.addObject());
    }
    return new Web.Reply(200, answer.put("has_more", more));
  }

  private synchronized Web.Reply feed(Web.Call call) throws InterruptedException {
    long after = call.number("depends_on");
    long end = log.now() + call.number("wait_ms");
    List<Row> changes = changes(call.query("table"), after);
    while (changes.isEmpty() && log.now() < end) {
      wait(Math.max(1, end - log.now()));
      changes = changes(call.query("table"), after);
    }
    ObjectNode answer = head();
    ArrayNode found = answer.putArray("rows");
    changes.forEach(row -> row.write(found.addObject()));
    return new Web.Reply(200, answer);
  }

  private List<Row> changes(String table, long after) {
    int first = history.size();
    while (first > 0 && history.get(first - 1).version() > after) {
      first--;
    }
    List<Row> found = new ArrayList<>();
    for (Row row : history.subList(first, history.size())) {
      if (row.name().table().equals(table)) {
        found.add(row);
      }
    }
    return found;
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
    return Json.object().put("schema_version", version).put("now_ms", log.now());
  }
}
