/** Small helpers without state. */
@NullMarked
package org.hemlockpick.util;

import org.jspecify.annotations.NullMarked;
