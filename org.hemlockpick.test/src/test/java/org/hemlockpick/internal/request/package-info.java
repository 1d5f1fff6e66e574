/** Tests of the systems for latency-critical requests. */
@NullMarked
package org.hemlockpick.internal.request;

import org.jspecify.annotations.NullMarked;
