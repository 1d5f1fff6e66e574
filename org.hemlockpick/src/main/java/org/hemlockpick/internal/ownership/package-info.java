/** Leases on workers, which decide which entry instance may send work to a worker. */
@NullMarked
package org.hemlockpick.internal.ownership;

import org.jspecify.annotations.NullMarked;
