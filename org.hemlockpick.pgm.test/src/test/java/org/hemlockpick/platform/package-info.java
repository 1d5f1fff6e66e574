/** Tests of the adapter between the library and the users' platform. */
@NullMarked
package org.hemlockpick.platform;

import org.jspecify.annotations.NullMarked;
