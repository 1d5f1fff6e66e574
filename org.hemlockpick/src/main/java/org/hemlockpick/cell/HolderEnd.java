package org.hemlockpick.cell;

/** Cause for which an entry instance no longer holds the cell. */
enum HolderEnd {
  /** It has released the cell in a planned stop. */
  RELEASED,

  /** The row of the lease has another holder. */
  DEPOSED,

  /** A worker has seen a higher fencing token. */
  FENCED
}
