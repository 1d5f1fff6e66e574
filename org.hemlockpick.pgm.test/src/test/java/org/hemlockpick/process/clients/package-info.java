/** Tests of single processes against clients that nobody controls. */
@NullMarked
package org.hemlockpick.process.clients;

import org.jspecify.annotations.NullMarked;
