/** Stand-ins for the services and workers of the platform, for tests and demos. */
@NullMarked
package org.hemlockpick.standin;

import org.jspecify.annotations.NullMarked;
