/** Tests of the calls to the platform. */
@NullMarked
package org.hemlockpick.transport.http;

import org.jspecify.annotations.NullMarked;
