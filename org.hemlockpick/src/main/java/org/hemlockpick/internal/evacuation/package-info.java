/** Tracks which availability zones operators have evacuated, and records their changes. */
@NullMarked
package org.hemlockpick.internal.evacuation;

import org.jspecify.annotations.NullMarked;
