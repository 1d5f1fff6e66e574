/** Tests of the daemon. */
@NullMarked
package org.hemlockpick.daemon;

import org.jspecify.annotations.NullMarked;
