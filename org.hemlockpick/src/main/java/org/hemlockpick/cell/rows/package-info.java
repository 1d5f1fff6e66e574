/** The rows in which a cell keeps its state, and their sizes. */
@NullMarked
package org.hemlockpick.cell.rows;

import org.jspecify.annotations.NullMarked;
