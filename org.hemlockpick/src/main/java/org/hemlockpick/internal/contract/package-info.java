/** Contracts in force and their distribution. */
@NullMarked
package org.hemlockpick.internal.contract;

import org.jspecify.annotations.NullMarked;
