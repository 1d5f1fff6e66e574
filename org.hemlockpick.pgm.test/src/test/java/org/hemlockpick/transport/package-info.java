/** Tests of the transport over sockets. */
@NullMarked
package org.hemlockpick.transport;

import org.jspecify.annotations.NullMarked;
