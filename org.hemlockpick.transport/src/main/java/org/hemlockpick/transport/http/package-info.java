/** HTTP clients of the workers, the table service, the object store and the instance list. */
@NullMarked
package org.hemlockpick.transport.http;

import org.jspecify.annotations.NullMarked;
