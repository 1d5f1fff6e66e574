/** Scenario and fuzz tests of several entry instances, workers and a platform in virtual time. */
@NullMarked
package org.hemlockpick.world;

import org.jspecify.annotations.NullMarked;
