/**
 * Evacuation of availability zones: which zones the operator evacuates, how far that is known, and
 * how workers take up work again afterwards.
 */
@NullMarked
package org.hemlockpick.cell.evacuation;

import org.jspecify.annotations.NullMarked;
