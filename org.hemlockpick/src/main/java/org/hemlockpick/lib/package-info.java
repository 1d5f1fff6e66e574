/**
 * Public interface of the library: one entry instance as an event loop that turns inputs into
 * outputs.
 */
@NullMarked
package org.hemlockpick.lib;

import org.jspecify.annotations.NullMarked;
