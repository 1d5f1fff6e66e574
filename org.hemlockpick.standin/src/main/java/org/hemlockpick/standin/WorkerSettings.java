package org.hemlockpick.standin;

import java.time.Duration;
import org.hemlockpick.proto.Capacity;

/**
 * Settings of a worker stand-in.
 *
 * @param name name of the worker
 * @param capacity capacity of the worker
 * @param serviceTime duration of a request whose body does not specify one
 * @param taskTime duration of a task at full speed if its payload does not specify one
 * @param checkpointInterval progress of a task between two checkpoints
 */
public record WorkerSettings(
    String name,
    Capacity capacity,
    Duration serviceTime,
    Duration taskTime,
    Duration checkpointInterval) {}
