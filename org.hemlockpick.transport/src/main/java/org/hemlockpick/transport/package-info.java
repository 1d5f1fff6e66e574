/** Transport to peers, workers and the platform's services. */
@NullMarked
package org.hemlockpick.transport;

import org.jspecify.annotations.NullMarked;
