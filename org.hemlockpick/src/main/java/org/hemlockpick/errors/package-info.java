/** Defines the numbered result codes and the messages of the library. */
@NullMarked
package org.hemlockpick.errors;

import org.jspecify.annotations.NullMarked;
