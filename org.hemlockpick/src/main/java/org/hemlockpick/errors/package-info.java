/** Numbered result codes and the exceptions of the library. */
@NullMarked
package org.hemlockpick.errors;

import org.jspecify.annotations.NullMarked;
