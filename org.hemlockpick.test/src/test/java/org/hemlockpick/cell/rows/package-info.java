/** Tests of the rows in which a cell keeps its state. */
@NullMarked
package org.hemlockpick.cell.rows;

import org.jspecify.annotations.NullMarked;
