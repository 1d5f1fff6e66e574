package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.proto.JobRecord;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;
import org.jspecify.annotations.Nullable;

/** Holds the jobs of loaded shards and reads their rows. */
final class JobTable {
  private final StoreCalls store;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, List<Consumer<@Nullable Job>>> loading = new HashMap<>();

  JobTable(StoreCalls store) {
    this.store = store;
  }

  @Nullable Job find(String job) {
    return jobs.get(job);
  }

  Collection<Job> all() {
    return jobs.values();
  }

  /**
   * Passes a job to the handler, after reading its row if it is not loaded. The handler gets null
   * when the job has no row, and is not called when the table service does not answer.
   */
  void with(String id, Consumer<@Nullable Job> handler) {
    Job job = jobs.get(id);
    if (job != null) {
      handler.accept(job);
    } else {
      read(id, handler);
    }
  }

  /** Reads the row of a job, also if it is loaded; reads of one job in flight are shared. */
  void read(String id, Consumer<@Nullable Job> handler) {
    List<Consumer<@Nullable Job>> waiting = loading.get(id);
    if (waiting != null) {
      waiting.add(handler);
      return;
    }
    waiting = new ArrayList<>();
    waiting.add(handler);
    loading.put(id, waiting);
    store.read(TableNames.JOBS, id, reply -> onRead(id, reply));
  }

  /** Stores the record of a job whose row exists; a cancelled job stays cancelled. */
  Job put(JobRecord record) {
    Job job = jobs.computeIfAbsent(record.getJob(), id -> new Job(record));
    if (!job.isCancelled()) {
      job.record = record;
    }
    return job;
  }

  /** Removes a job if none of its shards is loaded. */
  void release(Job job) {
    if (job.shards.isEmpty()) {
      jobs.remove(job.id);
    }
  }

  private void onRead(String id, StoreReply reply) {
    List<Consumer<@Nullable Job>> waiting = loading.remove(id);
    if (waiting == null || reply.getStatus() != StoreStatus.STORE_OK) {
      return;
    }
    Job job = reply.getRowsCount() == 0 ? null : put(BatchRows.job(reply.getRows(0)));
    waiting.forEach(handler -> handler.accept(job));
    if (job != null) {
      release(job);
    }
  }
}
