package org.hemlockpick.cell.rows;

import java.util.List;
import org.hemlockpick.cell.Step;
import org.hemlockpick.cell.Submission;

/** Numbers the tasks of all steps of all occurrences of a job, in this order, from 0. */
final class TaskNumbers {
  /** Numbers of the first tasks of the steps of the first occurrence, and of the second one. */
  private final int[] firsts;

  TaskNumbers(Submission job) {
    List<Step> steps = job.steps();
    firsts = new int[steps.size() + 1];
    for (int i = 0; i < steps.size(); i++) {
      firsts[i + 1] = firsts[i] + steps.get(i).count();
    }
  }

  /** Returns the number of a task. */
  int number(int occurrence, int step, int index) {
    return occurrence * perOccurrence() + firsts[step] + index;
  }

  int occurrence(int number) {
    return number / perOccurrence();
  }

  /** Returns the number of the step of a task within its occurrence. */
  int step(int number) {
    int within = number % perOccurrence();
    int step = 0;
    while (firsts[step + 1] <= within) {
      step++;
    }
    return step;
  }

  /** Returns the index of a task within its step. */
  int index(int number) {
    return number % perOccurrence() - firsts[step(number)];
  }

  /** Returns whether a task of a row is one of the job. */
  boolean hasStep(int step) {
    return step < firsts.length - 1;
  }

  private int perOccurrence() {
    return firsts[firsts.length - 1];
  }
}
