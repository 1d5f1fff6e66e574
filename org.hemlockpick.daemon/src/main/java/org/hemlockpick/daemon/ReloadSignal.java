package org.hemlockpick.daemon;

import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/** Handles SIGHUP, which would otherwise end the virtual machine. */
public final class ReloadSignal {
  private static final Logger log = Logger.getLogger(ReloadSignal.class);
  private static final String NAME = "HUP";

  private ReloadSignal() {}

  /**
   * Registers an action that runs at each signal, on a thread of its own.
   *
   * @param action must not block
   */
  public static void handle(Runnable action) {
    // Uses reflection, as the compiler warns about every direct use of these classes.
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> type = Class.forName("sun.misc.SignalHandler");
      Object handler =
          Proxy.newProxyInstance(
              type.getClassLoader(),
              new Class<?>[] {type},
              (proxy, method, args) -> {
                action.run();
                return null;
              });
      Object hangUp = signal.getConstructor(String.class).newInstance(NAME);
      signal.getMethod("handle", signal, type).invoke(null, hangUp, handler);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      log.warn(Messages.SIGNAL_NOT_HANDLED, e);
    }
  }
}
