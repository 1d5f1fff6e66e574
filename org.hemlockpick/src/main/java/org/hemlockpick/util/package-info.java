/** General utilities, independent of entry instances and workers. */
@NullMarked
package org.hemlockpick.util;

import org.jspecify.annotations.NullMarked;
