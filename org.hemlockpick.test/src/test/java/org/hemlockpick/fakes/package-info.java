/** Hand-written fakes for the interfaces of the library, in virtual time. */
@NullMarked
package org.hemlockpick.fakes;

import org.jspecify.annotations.NullMarked;
