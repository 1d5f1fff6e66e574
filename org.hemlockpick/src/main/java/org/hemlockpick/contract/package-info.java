/** Defines the contracts of customers and parses them from TOML. */
@NullMarked
package org.hemlockpick.contract;

import org.jspecify.annotations.NullMarked;
