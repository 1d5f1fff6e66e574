/** Membership: which other entry instances are alive, and the heartbeats that they send. */
@NullMarked
package org.hemlockpick.internal.membership;

import org.jspecify.annotations.NullMarked;
