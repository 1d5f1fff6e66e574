package org.hemlockpick.standin;

import java.time.Duration;
import org.hemlockpick.proto.Capacity;

/**
 * Describes a worker stand-in.
 *
 * @param name name of the worker
 * @param capacity what it can hold
 * @param serviceTime time that a request takes if its body says nothing else
 * @param taskTime time that a task takes at full speed if its payload says nothing else
 * @param checkpointInterval progress between two checkpoints of a task
 */
public record WorkerSettings(
    String name,
    Capacity capacity,
    Duration serviceTime,
    Duration taskTime,
    Duration checkpointInterval) {}
