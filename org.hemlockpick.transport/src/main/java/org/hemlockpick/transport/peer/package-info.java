/** Messages between entry instances over TCP. */
@NullMarked
package org.hemlockpick.transport.peer;

import org.jspecify.annotations.NullMarked;
