package org.hemlockpick.internal.loop;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Holds the calls of one kind that are in flight until their reply arrives or they time out. The
 * handler of a call is called once; a reply to a completed call is ignored.
 *
 * @param <R> type of the reply
 */
final class CallTable<R> {
  private record OpenCall<R>(long expiresAt, R timeoutReply, Consumer<R> handler) {}

  private final Map<Long, OpenCall<R>> open = new LinkedHashMap<>();
  private long lastId;

  long add(long expiresAt, R timeoutReply, Consumer<R> handler) {
    long id = ++lastId;
    open.put(id, new OpenCall<>(expiresAt, timeoutReply, handler));
    return id;
  }

  void settle(long id, R reply) {
    OpenCall<R> call = open.remove(id);
    if (call != null) {
      call.handler().accept(reply);
    }
  }

  void expire(long now) {
    List<OpenCall<R>> expired = new ArrayList<>();
    open.values()
        .removeIf(
            call -> {
              boolean due = call.expiresAt() <= now;
              if (due) {
                expired.add(call);
              }
              return due;
            });
    expired.forEach(call -> call.handler().accept(call.timeoutReply()));
  }

  int size() {
    return open.size();
  }
}
