/** Plays the users' platform to real processes, disturbs them, and looks for broken rules. */
@NullMarked
package org.hemlockpick.platform.soak;

import org.jspecify.annotations.NullMarked;
