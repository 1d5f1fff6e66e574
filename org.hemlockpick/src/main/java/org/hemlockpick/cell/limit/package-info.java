/** Limits on what a cell takes on at a time. */
@NullMarked
package org.hemlockpick.cell.limit;

import org.jspecify.annotations.NullMarked;
