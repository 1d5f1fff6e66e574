package org.hemlockpick.cell;

import com.google.protobuf.ByteString;
import java.util.Optional;

/** Parses the platform's rows, whose format the platform defines. */
public interface ConfigurationSource {
  /** Returns the table of the operator's rows. */
  String operatorTable();

  /** Returns the key of the configuration in the operator's table. */
  String configurationKey();

  /**
   * Returns the prefix of the keys of the operator's requests to evacuate an availability zone; the
   * name of the zone follows.
   */
  String evacuationKeyPrefix();

  /** Returns the configuration in a row's value; empty if it cannot be read. */
  Optional<Configuration> configuration(ByteString value);

  /** Returns the table with the list of workers. */
  String workerTable();

  /** Returns the worker in a row of the list; empty if the row describes no usable worker. */
  Optional<WorkerEntry> worker(String key, ByteString value);
}
