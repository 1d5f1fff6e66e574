/** Tests of whole zones that run as processes. */
@NullMarked
package org.hemlockpick.process;

import org.jspecify.annotations.NullMarked;
