/** Tests of the links between entry instances. */
@NullMarked
package org.hemlockpick.transport.peer;

import org.jspecify.annotations.NullMarked;
