/**
 * Limits on what callers can make a process hold: connections, request heads, bodies, responses.
 */
@NullMarked
package org.hemlockpick.daemon.admission;

import org.jspecify.annotations.NullMarked;
