package org.hemlockpick.internal.ownership;

import java.util.List;
import org.hemlockpick.proto.TaskRef;

/** Provides the finished task attempts that are recorded, so that the worker may forget them. */
public interface RecordedTaskSource {

  /** Returns the attempts that the worker still reports although they are recorded. */
  List<TaskRef> recorded(Worker worker);
}
