package org.hemlockpick.cell;

import com.google.protobuf.ByteString;

/**
 * A row of the table service.
 *
 * @param table table
 * @param part part of the table
 * @param key key
 * @param value value; empty for a removed row
 * @param version version of the row; 0 for a row that does not exist
 * @param removed whether the row was removed
 */
public record StoredRow(
    String table, String part, String key, ByteString value, long version, boolean removed) {}
