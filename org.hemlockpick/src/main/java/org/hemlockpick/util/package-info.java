/** Small helpers that know nothing of instances and workers. */
@NullMarked
package org.hemlockpick.util;

import org.jspecify.annotations.NullMarked;
