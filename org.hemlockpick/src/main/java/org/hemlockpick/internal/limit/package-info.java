/** Enforces the limits of customers across all entry instances. */
@NullMarked
package org.hemlockpick.internal.limit;

import org.jspecify.annotations.NullMarked;
