package org.hemlockpick.daemon;

import java.math.BigInteger;
import java.security.SecureRandom;

/**
 * Identity of a process of an entry instance.
 *
 * @param instance name of the entry instance
 * @param incarnation distinguishes the process from others of the same instance
 */
public record ProcessIdentity(String instance, String incarnation) {
  private static final int INCARNATION_BITS = 64;

  /** Creates an identity with a new, random incarnation. */
  public static ProcessIdentity create(String instance) {
    BigInteger number = new BigInteger(INCARNATION_BITS, new SecureRandom());
    return new ProcessIdentity(instance, number.toString(Character.MAX_RADIX));
  }
}
