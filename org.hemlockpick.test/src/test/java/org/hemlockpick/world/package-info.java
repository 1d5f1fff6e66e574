/** Several entry instances, workers and a platform in virtual time: fuzzing and scenarios. */
@NullMarked
package org.hemlockpick.world;

import org.jspecify.annotations.NullMarked;
