/** Scenarios of a cell in virtual time: entry instances, the table service and workers. */
@NullMarked
package org.hemlockpick.cell;

import org.jspecify.annotations.NullMarked;
