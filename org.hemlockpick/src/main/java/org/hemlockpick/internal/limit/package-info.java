/** Limits of customers, shared by all entry instances. */
@NullMarked
package org.hemlockpick.internal.limit;

import org.jspecify.annotations.NullMarked;
