package org.hemlockpick.internal.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Holds the open requests of this entry instance. */
public final class RequestTable {
  private final Set<Request> open = new LinkedHashSet<>();
  private final Map<Long, Request> byExchange = new HashMap<>();
  private final Map<Long, Request> bySequence = new HashMap<>();
  private final Map<Long, Request> byForward = new HashMap<>();
  private final FairQueue waiting = new FairQueue();

  /** Returns the number of open requests in any state. */
  public int size() {
    return open.size();
  }

  FairQueue waiting() {
    return waiting;
  }

  void add(Request request) {
    open.add(request);
    if (request.origin instanceof Origin.Caller caller) {
      byExchange.put(caller.exchange(), request);
    }
  }

  void remove(Request request) {
    open.remove(request);
    waiting.remove(request);
    bySequence.remove(request.sequence, request);
    byForward.remove(request.forwardId, request);
    if (request.origin instanceof Origin.Caller caller) {
      byExchange.remove(caller.exchange(), request);
    }
    request.state = RequestState.FINISHED;
  }

  void setSequence(Request request, long sequence) {
    bySequence.remove(request.sequence, request);
    request.sequence = sequence;
    bySequence.put(sequence, request);
  }

  /** Detaches the request from its newest attempt, so that late replies to it are ignored. */
  void clearSequence(Request request) {
    bySequence.remove(request.sequence, request);
    request.sequence = 0;
  }

  void setForward(Request request, long forwardId) {
    byForward.remove(request.forwardId, request);
    request.forwardId = forwardId;
    byForward.put(forwardId, request);
  }

  void clearForward(Request request) {
    byForward.remove(request.forwardId, request);
    request.forwardId = 0;
  }

  @Nullable Request findExchange(long exchange) {
    return byExchange.get(exchange);
  }

  @Nullable Request findSequence(long sequence) {
    return bySequence.get(sequence);
  }

  @Nullable Request findForward(long forwardId) {
    return byForward.get(forwardId);
  }

  Collection<Long> openForwards() {
    return Collections.unmodifiableCollection(byForward.keySet());
  }

  List<Request> inState(RequestState state) {
    return open.stream().filter(request -> request.state == state).toList();
  }

  List<Request> pastDeadline(long now) {
    List<Request> expired = new ArrayList<>();
    for (Request request : open) {
      if (request.deadline <= now) {
        expired.add(request);
      }
    }
    return expired;
  }
}
