/** Commands that run and operate entry instances. */
@NullMarked
package org.hemlockpick.pgm;

import org.jspecify.annotations.NullMarked;
