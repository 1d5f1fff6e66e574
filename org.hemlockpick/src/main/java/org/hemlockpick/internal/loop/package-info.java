/** Parts shared by all systems: the outbox and the tables of open calls. */
@NullMarked
package org.hemlockpick.internal.loop;

import org.jspecify.annotations.NullMarked;
