/** Which entry instances and workers exist, which are alive and which are leaving. */
@NullMarked
package org.hemlockpick.internal.membership;

import org.jspecify.annotations.NullMarked;
