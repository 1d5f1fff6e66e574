/** Tests of the limits on callers. */
@NullMarked
package org.hemlockpick.daemon.admission;

import org.jspecify.annotations.NullMarked;
