package org.hemlockpick.internal.batch;

import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.proto.JobPhase;
import org.hemlockpick.proto.JobQuery;
import org.hemlockpick.proto.JobRecord;
import org.hemlockpick.proto.JobView;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.ShardRecord;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.proto.TaskRecord;

/** Answers queries for jobs, from memory if all shards are held here, else from their rows. */
final class JobQueryHandler {
  private static final String OPEN = "open";
  private static final String FINISHED = "finished";
  private static final String CANCELLED = "cancelled";

  private static final int PAGE_ROWS = 64;

  private final StoreCalls store;
  private final JobTable jobs;
  private final ShardTable shards;
  private final Callers callers;

  JobQueryHandler(StoreCalls store, JobTable jobs, ShardTable shards, Callers callers) {
    this.store = store;
    this.jobs = jobs;
    this.shards = shards;
    this.callers = callers;
  }

  /** Returns the view of a job that was just submitted. */
  static JobView open(JobRecord job) {
    return head(job).setState(OPEN).setQueued(job.getSpec().getTaskCount()).build();
  }

  /** Returns the view of a job that was just cancelled, without the counts of its tasks. */
  static JobView cancelled(JobRecord job) {
    return head(job).setState(CANCELLED).build();
  }

  void on(JobQuery query) {
    long exchange = query.getExchange();
    if (callers.authenticate(exchange, query.getCustomer(), query.getKeyDigest()) == null) {
      return;
    }
    Job job = jobs.find(query.getJob());
    if (job != null && job.customer().equals(query.getCustomer()) && isAllHeld(job)) {
      Map<Integer, TaskRecord> tasks = new TreeMap<>();
      for (Shard shard : job.shards.values()) {
        shard.tasks.forEach(task -> tasks.put(task.committed.getIndex(), task.committed));
      }
      callers.answer(exchange, view(job.record, tasks.values()));
      return;
    }
    store.read(TableNames.JOBS, query.getJob(), reply -> onJob(query, reply));
  }

  private boolean isAllHeld(Job job) {
    return job.shards.size() == job.record.getShards()
        && job.shards.values().stream().allMatch(shards::isHeld);
  }

  private void onJob(JobQuery query, StoreReply reply) {
    if (reply.getStatus() != StoreStatus.STORE_OK) {
      callers.answer(query.getExchange(), ResultCode.STORE_UNREACHABLE);
      return;
    }
    JobRecord job =
        reply.getRowsCount() == 0
            ? JobRecord.getDefaultInstance()
            : BatchRows.job(reply.getRows(0));
    if (!job.getCustomer().equals(query.getCustomer())) {
      callers.answer(query.getExchange(), ResultCode.UNKNOWN_JOB);
      return;
    }
    Map<Integer, TaskRecord> tasks = new TreeMap<>();
    BiConsumer<String, Runnable> read = (table, next) -> scan(query, job, table, "", tasks, next);
    // A shard that moves to the finished shards meanwhile is found in both tables or in the second.
    read.accept(
        TableNames.SHARDS,
        () ->
            read.accept(
                TableNames.FINISHED_SHARDS,
                () -> callers.answer(query.getExchange(), view(job, tasks.values()))));
  }

  private void scan(
      JobQuery query,
      JobRecord job,
      String table,
      String after,
      Map<Integer, TaskRecord> tasks,
      Runnable next) {
    RowScan scan =
        RowScan.newBuilder()
            .setTable(table)
            .setPrefix(BatchRows.jobPrefix(job.getZone(), job.getJob()))
            .setAfter(after)
            .setLimit(PAGE_ROWS)
            .build();
    store.scan(
        scan,
        reply -> {
          if (reply.getStatus() != StoreStatus.STORE_OK) {
            callers.answer(query.getExchange(), ResultCode.STORE_UNREACHABLE);
            return;
          }
          reply.getRowsList().forEach(row -> collect(job, row, tasks));
          if (reply.getRowsCount() < PAGE_ROWS) {
            next.run();
          } else {
            String last = reply.getRows(reply.getRowsCount() - 1).getKey();
            scan(query, job, table, last, tasks, next);
          }
        });
  }

  private static void collect(JobRecord job, Row row, Map<Integer, TaskRecord> tasks) {
    ShardRecord shard = BatchRows.shard(row);
    if (shard.getShard() < job.getShards()) {
      shard.getTasksList().forEach(task -> tasks.put(task.getIndex(), task));
    }
  }

  private static JobView.Builder head(JobRecord job) {
    return JobView.newBuilder()
        .setJob(job.getJob())
        .setName(job.getSpec().getName())
        .setDeadlineAtMillis(job.getDeadlineAtMillis());
  }

  private static JobView view(JobRecord job, Collection<TaskRecord> tasks) {
    JobView.Builder view = head(job);
    for (TaskRecord task : tasks) {
      count(view, task);
    }
    int ended = view.getDone() + view.getParked() + view.getCancelled();
    boolean complete = ended == job.getSpec().getTaskCount();
    if (job.getPhase() == JobPhase.JOB_CANCELLED && (!complete || view.getCancelled() > 0)) {
      return view.setState(CANCELLED).build();
    }
    if (!complete) {
      return view.setState(OPEN).build();
    }
    tasks.stream().map(TaskRecord::getResult).forEach((ByteString r) -> view.addResults(r));
    return view.setState(FINISHED).build();
  }

  private static void count(JobView.Builder view, TaskRecord task) {
    switch (task.getState()) {
      case QUEUED -> view.setQueued(view.getQueued() + 1);
      case ASSIGNED -> view.setAssigned(view.getAssigned() + 1);
      case DONE -> view.setDone(view.getDone() + 1);
      case CANCELLED -> view.setCancelled(view.getCancelled() + 1);
      case PARKED -> countParked(view, task);
      default -> {
        // States of later versions are not counted.
      }
    }
  }

  private static void countParked(JobView.Builder view, TaskRecord task) {
    view.setParked(view.getParked() + 1);
    if (view.getReason().isEmpty()) {
      view.setReason(Messages.parkedTask(task));
    }
  }
}
