package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** One step of one occurrence of a job, with its tasks. */
final class StepRun {
  private final Job job;
  private final int occurrence;
  private final int number;
  private final Step step;
  private final List<Task> tasks;
  private int doneCount;

  StepRun(Job job, int occurrence, int number, Step step) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.step = step;
    List<Task> made = new ArrayList<>(step.count());
    for (int i = 0; i < step.count(); i++) {
      made.add(new Task(this, i));
    }
    this.tasks = Collections.unmodifiableList(made);
  }

  Job job() {
    return job;
  }

  int occurrence() {
    return occurrence;
  }

  int number() {
    return number;
  }

  Step step() {
    return step;
  }

  List<Task> tasks() {
    return tasks;
  }

  boolean isDone() {
    return doneCount == tasks.size();
  }

  /** Marks a task as done; does nothing if it is already. */
  void complete(Task task) {
    if (!task.isDone()) {
      task.setDone();
      doneCount++;
    }
  }

  /** Marks all tasks as done, as one completion in a gang stands for all of them. */
  void completeAll() {
    tasks.forEach(this::complete);
  }

  /** Returns whether its tasks may have copies. */
  boolean mayHaveCopies() {
    return step.speculative() && !step.longRunning() && !step.gang() && !step.filler();
  }

  /** Returns how many tasks have a copy. */
  int countCopies() {
    int count = 0;
    for (Task task : mayHaveCopies() ? tasks : List.<Task>of()) {
      count += task.copy() != null ? 1 : 0;
    }
    return count;
  }

  /** Returns whether a task has a run. */
  boolean hasRuns() {
    return !isDone() && tasks.stream().anyMatch(task -> !task.hasNoRuns());
  }

  boolean hasProgress() {
    return doneCount > 0 || tasks.stream().anyMatch(Task::needsStoring);
  }

  /** Returns the number of tasks that run, or may run, on a worker. */
  int countOn(Worker worker) {
    int count = 0;
    for (Run run : worker.runs()) {
      if (run.task().step() == this) {
        count++;
      }
    }
    return count;
  }
}
