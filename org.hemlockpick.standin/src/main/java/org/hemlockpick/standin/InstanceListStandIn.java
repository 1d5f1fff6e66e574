package org.hemlockpick.standin;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hemlockpick.proto.InstanceList;
import org.hemlockpick.proto.ListedInstance;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for the instance list service.
 *
 * <p>GET /v1/instances returns an InstanceList. POST /v1/instances with a ListedInstance is a
 * heartbeat: it adds the instance or keeps it on the list, and returns the entry. POST
 * /v1/instances/{name}/leaving marks an instance as leaving.
 */
public final class InstanceListStandIn implements StandIn {
  private static final String PATH = "/v1/instances";
  private static final String LEAVING = "/leaving";

  private final Timeline timeline;
  private final InstantSource time;
  private final Duration lag;
  private final TreeMap<String, Entry> entries = new TreeMap<>();

  /**
   * Creates an empty list.
   *
   * @param lag time for which an instance stays on the list after its last heartbeat
   */
  public InstanceListStandIn(String name, Duration lag, InstantSource time) {
    this.timeline = new Timeline(name, time);
    this.lag = lag;
    this.time = time;
  }

  @Override
  public Timeline timeline() {
    return timeline;
  }

  @Override
  public CompletableFuture<Reply> handle(Call call) {
    if (call.isGet(PATH)) {
      return CompletableFuture.completedFuture(Reply.of(list()));
    }
    if (call.isPost(PATH)) {
      ListedInstance instance = MessageJson.merge(call.body(), ListedInstance.newBuilder()).build();
      return CompletableFuture.completedFuture(Reply.of(heartbeat(instance)));
    }
    String name = leavingName(call);
    if (name != null) {
      return CompletableFuture.completedFuture(Reply.of(leave(name)));
    }
    throw new CallException(404, Messages.noSuchPath(call.method(), call.path()));
  }

  private synchronized InstanceList list() {
    removeExpired();
    InstanceList.Builder list = InstanceList.newBuilder();
    entries.values().forEach(entry -> list.addInstances(entry.instance()));
    return list.build();
  }

  private synchronized ListedInstance heartbeat(ListedInstance instance) {
    String name = instance.getName();
    if (name.isEmpty()) {
      throw new CallException(400, Messages.noName());
    }
    Entry existing = entries.get(name);
    boolean leaving =
        instance.getLeaving() || (existing != null && existing.instance().getLeaving());
    ListedInstance listed = instance.toBuilder().setLeaving(leaving).build();
    entries.put(name, new Entry(listed, time.millis()));
    if (existing == null) {
      timeline.write("listed", name, instance.getAddress());
    }
    return listed;
  }

  private synchronized ListedInstance leave(String name) {
    removeExpired();
    Entry existing = entries.get(name);
    if (existing == null) {
      throw new CallException(404, Messages.unknownInstance(name));
    }
    ListedInstance leaving = existing.instance().toBuilder().setLeaving(true).build();
    entries.put(name, new Entry(leaving, existing.lastHeartbeatMillis()));
    timeline.write("leaving", name, "");
    return leaving;
  }

  private void removeExpired() {
    long oldest = time.millis() - lag.toMillis();
    for (Entry entry : List.copyOf(entries.values())) {
      if (entry.lastHeartbeatMillis() < oldest) {
        entries.remove(entry.instance().getName());
        timeline.write("unlisted", entry.instance().getName(), "");
      }
    }
  }

  private static @Nullable String leavingName(Call call) {
    String path = call.path();
    boolean matches =
        call.method().equals("POST") && path.startsWith(PATH + "/") && path.endsWith(LEAVING);
    int begin = PATH.length() + 1;
    int end = path.length() - LEAVING.length();
    return matches && begin < end ? path.substring(begin, end) : null;
  }

  private record Entry(ListedInstance instance, long lastHeartbeatMillis) {}
}
