/** Tests of the stand-ins for the platform. */
@NullMarked
package org.hemlockpick.standin;

import org.jspecify.annotations.NullMarked;
