/** Contracts of customers and their TOML form. */
@NullMarked
package org.hemlockpick.contract;

import org.jspecify.annotations.NullMarked;
