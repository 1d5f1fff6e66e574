package org.hemlockpick.internal.ownership;

import java.util.List;
import org.hemlockpick.proto.TaskRef;

/** Names the finished attempts that are recorded and may be forgotten by the worker. */
public interface RecordedTaskSource {

  /** Returns attempts that the worker still reports although they are recorded. */
  List<TaskRef> recorded(Worker worker);
}
