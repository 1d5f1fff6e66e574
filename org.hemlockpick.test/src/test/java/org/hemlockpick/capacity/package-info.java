/** Measures the resource use of the library at given populations, for {@code docs/CAPACITY.md}. */
@NullMarked
package org.hemlockpick.capacity;

import org.jspecify.annotations.NullMarked;
