/** Tests of the decisions on copies. */
@NullMarked
package org.hemlockpick.cell.speculation;

import org.jspecify.annotations.NullMarked;
