/** Distributes the contracts in force to all entry instances. */
@NullMarked
package org.hemlockpick.internal.contract;

import org.jspecify.annotations.NullMarked;
