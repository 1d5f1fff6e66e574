package org.hemlockpick.cell;

import java.util.Map;
import org.hemlockpick.cell.calls.Tombstones;

/** Gauges of the holder of a cell. */
final class HolderGauges {
  private final JobTable jobs;
  private final Tombstones tombstones;
  private final WorkerTable workers;
  private final ReservationTable reservations;
  private final TakeoverTracker takeover;
  private final CellJournal journal;
  private final CellReports reports;
  private final EvacuationController evacuation;

  HolderGauges(
      JobTable jobs,
      Tombstones tombstones,
      WorkerTable workers,
      ReservationTable reservations,
      TakeoverTracker takeover,
      CellJournal journal,
      CellReports reports,
      EvacuationController evacuation) {
    this.jobs = jobs;
    this.tombstones = tombstones;
    this.workers = workers;
    this.reservations = reservations;
    this.takeover = takeover;
    this.journal = journal;
    this.reports = reports;
    this.evacuation = evacuation;
  }

  void addTo(Map<String, Long> gauges, long now) {
    gauges.put("cell.renewal.age.millis", journal.millisSinceRenewal());
    gauges.put("jobs.open", (long) jobs.open().size());
    gauges.put("jobs.tombstones", (long) tombstones.size());
    gauges.put("jobs.refused", (long) journal.refusedJobs());
    gauges.put("jobs.set.aside", (long) journal.setAsideJobs().members().size());
    gauges.put("reservations.held", (long) reservations.all().size());
    gauges.put("reservations.workers", (long) reservations.workers().size());
    gauges.put("workers.unaccounted", (long) takeover.unaccounted().size());
    addWorkers(gauges, now);
    reports.addGauges(gauges, now);
    evacuation.addGauges(gauges);
  }

  private void addWorkers(Map<String, Long> gauges, long now) {
    long known = 0;
    long schedulable = 0;
    long unresponsive = 0;
    long unreachable = 0;
    long draining = 0;
    long runs = 0;
    for (Worker worker : workers.all()) {
      known++;
      schedulable += worker.isSchedulable(now) ? 1 : 0;
      unresponsive += worker.isUnresponsive() ? 1 : 0;
      unreachable += worker.isUnreachable() ? 1 : 0;
      draining += worker.entry().draining() ? 1 : 0;
      runs += worker.runs().size();
    }
    gauges.put("workers.known", known);
    gauges.put("workers.schedulable", schedulable);
    gauges.put("workers.unresponsive", unresponsive);
    gauges.put("workers.unreachable", unreachable);
    gauges.put("workers.draining", draining);
    gauges.put("runs", runs);
  }
}
