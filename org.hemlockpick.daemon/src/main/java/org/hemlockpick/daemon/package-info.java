/** The daemon of an entry instance: HTTP API, settings, logging and traces of inputs. */
@NullMarked
package org.hemlockpick.daemon;

import org.jspecify.annotations.NullMarked;
