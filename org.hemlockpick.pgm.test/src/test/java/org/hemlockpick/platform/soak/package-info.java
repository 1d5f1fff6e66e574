/**
 * Soak test: simulates the users' platform for real processes, injects faults and checks
 * invariants.
 */
@NullMarked
package org.hemlockpick.platform.soak;

import org.jspecify.annotations.NullMarked;
