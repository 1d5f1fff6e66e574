/** Measures what the library costs at given populations, for {@code docs/CAPACITY.md}. */
@NullMarked
package org.hemlockpick.capacity;

import org.jspecify.annotations.NullMarked;
