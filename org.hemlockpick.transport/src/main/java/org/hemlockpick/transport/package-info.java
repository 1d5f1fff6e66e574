/** The peer link. */
@NullMarked
package org.hemlockpick.transport;

import org.jspecify.annotations.NullMarked;
