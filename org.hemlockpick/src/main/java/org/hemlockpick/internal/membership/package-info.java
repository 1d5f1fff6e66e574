/** Which other entry instances are alive, and what they say about themselves. */
@NullMarked
package org.hemlockpick.internal.membership;

import org.jspecify.annotations.NullMarked;
