/**
 * Decides which running tasks get a copy, an additional run elsewhere of which the first that is
 * done counts. It has no network and no clock, and sees the tasks only as {@link
 * org.hemlockpick.cell.speculation.StepState}.
 */
@NullMarked
package org.hemlockpick.cell.speculation;

import org.jspecify.annotations.NullMarked;
