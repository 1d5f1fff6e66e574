/** Tests of the command line. */
@NullMarked
package org.hemlockpick.pgm;

import org.jspecify.annotations.NullMarked;
