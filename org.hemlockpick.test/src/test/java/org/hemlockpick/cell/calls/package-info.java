/** Tests of the decisions about the calls of callers. */
@NullMarked
package org.hemlockpick.cell.calls;

import org.jspecify.annotations.NullMarked;
