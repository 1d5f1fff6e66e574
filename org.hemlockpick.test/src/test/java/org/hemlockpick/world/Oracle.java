package org.hemlockpick.world;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.RequestCall;
import org.hemlockpick.proto.TaskRef;
import org.jspecify.annotations.Nullable;

/**
 * Observes callers and workers and records every breach of an invariant. Independent of how the
 * entry instances decide.
 */
final class Oracle {
  /** Returns whether a result code is in the range that promises that the work did not run. */
  private static boolean promisesNotRun(int code) {
    return code >= 100 && code < 200;
  }

  private final List<String> breaches = new ArrayList<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<Long, Exchange> exchanges = new HashMap<>();
  private final Map<String, List<Exchange>> exchangesByBody = new HashMap<>();
  private final Map<String, String> runningAt = new HashMap<>();
  private final Map<String, String> attemptStartedAt = new HashMap<>();
  private final Map<String, String> stoppedAt = new HashMap<>();
  private final Map<String, String> finishedAt = new HashMap<>();
  private final Set<String> recordedTasks = new HashSet<>();
  int answered;
  int done;
  int notRun;
  int unknown;
  int taskStarts;
  int resumes;

  /** A caller's request and the answer that it received. */
  static final class Exchange {
    final long id;
    final String node;
    final String key;
    final String body;
    final boolean idempotent;
    final long deadline;
    int answers;
    int code = -1;
    boolean nodeDied;

    Exchange(long id, String node, String key, String body, boolean idempotent, long deadline) {
      this.id = id;
      this.node = node;
      this.key = key;
      this.body = body;
      this.idempotent = idempotent;
      this.deadline = deadline;
    }
  }

  void requestSent(Exchange exchange) {
    exchanges.put(exchange.id, exchange);
    exchangesByBody.computeIfAbsent(exchange.body, body -> new ArrayList<>()).add(exchange);
  }

  @Nullable Exchange exchange(long id) {
    return exchanges.get(id);
  }

  void nodeDied(String node) {
    for (Exchange exchange : exchanges.values()) {
      if (exchange.node.equals(node) && exchange.answers == 0) {
        exchange.nodeDied = true;
      }
    }
  }

  void answered(CallerAnswer answer) {
    Exchange exchange = exchanges.get(answer.getExchange());
    if (exchange == null) {
      return;
    }
    exchange.answers++;
    exchange.code = answer.getCode();
    answered++;
    if (exchange.answers > 1) {
      breach("exchange " + exchange.id + " was answered twice");
    }
    if (answer.getCode() == 0) {
      done++;
      checkBody(exchange, answer.getBody().toStringUtf8());
    } else if (promisesNotRun(answer.getCode())) {
      notRun++;
    } else {
      unknown++;
    }
  }

  /** Checks that a request refused as full under a current lease was not beyond the slots. */
  void requestRefusedAsFull(String worker, int running, int slots) {
    if (running >= slots) {
      breach(worker + " was given a request while all " + slots + " slots were taken");
    }
  }

  /** Records that a request started to run. */
  void requestStarted(String worker, RequestCall call) {
    String body = call.getBody().toStringUtf8();
    int count = runs.merge(body, 1, Integer::sum);
    boolean idempotent = body.startsWith("i");
    if (!idempotent && count > 1) {
      breach("non-idempotent " + body + " ran again at " + worker);
    }
    if (allPromisedNotRun(body)) {
      breach(body + " ran at " + worker + " after all its callers were told that it did not");
    }
  }

  /** Records that a task started to run in the current boot of a worker. */
  void taskStarted(String boot, TaskRef task, String checkpoint) {
    String id = task.getJob() + "/" + task.getIndex();
    String attempt = id + "@" + task.getAttempt();
    taskStarts++;
    String elsewhere = runningAt.put(id, boot);
    if (elsewhere != null) {
      breach("task " + attempt + " started at " + boot + " while running at " + elsewhere);
    }
    String before = attemptStartedAt.putIfAbsent(attempt, boot);
    if (before != null) {
      breach("attempt " + attempt + " started at " + boot + " after " + before);
    }
    if (finishedAt.containsKey(id)) {
      breach("task " + attempt + " started at " + boot + " after it had finished");
    }
    String expected = stoppedAt.remove(id);
    if (expected != null) {
      resumes++;
      if (!expected.equals(checkpoint)) {
        breach("task " + attempt + " resumed from '" + checkpoint + "', not '" + expected + "'");
      }
    }
  }

  void taskStopped(TaskRef task, String checkpoint) {
    String id = task.getJob() + "/" + task.getIndex();
    runningAt.remove(id);
    stoppedAt.put(id, checkpoint);
  }

  void taskCompleted(String boot, TaskRef task, boolean finished) {
    String id = task.getJob() + "/" + task.getIndex();
    runningAt.remove(id);
    if (finished) {
      finishedAt.put(id, boot);
    }
  }

  /** Records that a worker was told that a task's completion is stored. */
  void taskRecorded(TaskRef task) {
    recordedTasks.add(task.getJob() + "/" + task.getIndex());
  }

  /** Records that a worker died: its tasks stop and its unrecorded results are lost. */
  void bootDied(String boot) {
    runningAt.values().removeIf(boot::equals);
    finishedAt
        .entrySet()
        .removeIf(e -> e.getValue().equals(boot) && !recordedTasks.contains(e.getKey()));
  }

  /** Checks that new work is sent to a leaving worker only until the bound has passed. */
  void sentToLeaving(String worker, long sinceMillis, long boundMillis) {
    if (sinceMillis > boundMillis) {
      breach("work was sent to " + worker + " " + sinceMillis + " ms after it was leaving");
    }
  }

  void checkOverdue(long now, long graceMillis) {
    for (Exchange exchange : exchanges.values()) {
      boolean late = now > exchange.deadline + graceMillis;
      if (exchange.answers == 0 && !exchange.nodeDied && late) {
        exchange.nodeDied = true;
        breach("exchange " + exchange.id + " at " + exchange.node + " has no answer in time");
      }
    }
  }

  /** Checks at the end that no request ran whose callers were all told that it did not run. */
  void checkNotRun() {
    for (String body : runs.keySet()) {
      if (allPromisedNotRun(body)) {
        breach(body + " ran although all its callers were told that it did not");
      }
    }
  }

  private boolean allPromisedNotRun(String body) {
    List<Exchange> requesters = exchangesByBody.getOrDefault(body, List.of());
    return !requesters.isEmpty()
        && requesters.stream().allMatch(requester -> promisesNotRun(requester.code));
  }

  void versionWentBack(String node, long from, long to) {
    breach(node + " went back from configuration " + from + " to " + to);
  }

  void breach(String text) {
    breaches.add(text);
  }

  Collection<Exchange> exchanges() {
    return exchanges.values();
  }

  List<String> breaches() {
    return breaches;
  }

  private void checkBody(Exchange exchange, String body) {
    if (!body.equals("echo " + exchange.body)) {
      breach("exchange " + exchange.id + " got the answer '" + body + "'");
    }
  }
}
