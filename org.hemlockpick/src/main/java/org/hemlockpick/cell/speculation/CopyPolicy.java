package org.hemlockpick.cell.speculation;

import java.util.List;

/** Decides which running tasks of a step get a copy. */
public interface CopyPolicy {
  /**
   * Returns the runs that are worth a copy now, those that gain most first. The caller starts as
   * many of them as there is capacity for.
   *
   * @param step a step whose tasks may have copies
   */
  List<RunState> choose(StepState step);
}
