/** The daemon: HTTP server and client. */
@NullMarked
package org.hemlockpick.daemon;

import org.jspecify.annotations.NullMarked;
