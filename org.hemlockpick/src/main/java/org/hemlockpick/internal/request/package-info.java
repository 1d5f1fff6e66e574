/** Handles latency-critical requests from admission to answer. */
@NullMarked
package org.hemlockpick.internal.request;

import org.jspecify.annotations.NullMarked;
