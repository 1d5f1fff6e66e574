/** Parts shared by all systems of the event loop: the outbox and the calls in flight. */
@NullMarked
package org.hemlockpick.internal.loop;

import org.jspecify.annotations.NullMarked;
