package org.hemlockpick.daemon;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Handles SIGHUP, which would otherwise end the virtual machine. It may arrive before the process
 * has read its settings, so that it is caught first and given to an action later.
 */
public final class ReloadSignal {
  private static final String NAME = "HUP";
  private static final ReloadSignal SIGNAL = new ReloadSignal();

  /** Runs at each signal; null while there is none. */
  private @Nullable Runnable action;

  /** Whether a signal arrived that no action has handled. */
  private boolean pending;

  /** The handler of the virtual machine, which ends it; null while the signal is not caught. */
  private @Nullable Object defaultHandler;

  /** Why the signal could not be caught; null if it was. */
  private @Nullable Exception failure;

  private ReloadSignal() {}

  /** Catches the signal from now on. Loads few classes, so that it takes little time at a start. */
  public static void catchEarly() {
    SIGNAL.install();
  }

  /**
   * Registers an action that runs at each signal, on a thread of its own; at once if a signal has
   * been caught before.
   *
   * @param action must not block
   */
  public static void handle(Runnable action) {
    SIGNAL.install();
    SIGNAL.logFailure();
    SIGNAL.setAction(action);
  }

  /** Has the signal end the virtual machine again. */
  public static void release() {
    SIGNAL.restoreDefault();
  }

  private synchronized void install() {
    if (defaultHandler != null) {
      return;
    }
    // Uses reflection, as the compiler warns about every direct use of these classes.
    try {
      Class<?> type = Class.forName("sun.misc.SignalHandler");
      Object handler =
          Proxy.newProxyInstance(
              type.getClassLoader(),
              new Class<?>[] {type},
              (proxy, method, args) -> {
                onSignal();
                return null;
              });
      defaultHandler = register(handler);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      failure = e;
    }
  }

  private synchronized void restoreDefault() {
    Object handler = defaultHandler;
    if (handler == null) {
      return;
    }
    defaultHandler = null;
    try {
      register(handler);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      Logger.getLogger(ReloadSignal.class).warn(Messages.SIGNAL_NOT_HANDLED, e);
    }
  }

  /** Registers a handler and returns the former one. */
  private static Object register(Object handler) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> type = Class.forName("sun.misc.SignalHandler");
    Method handle = signal.getMethod("handle", signal, type);
    return handle.invoke(null, signal.getConstructor(String.class).newInstance(NAME), handler);
  }

  private synchronized void logFailure() {
    if (failure != null) {
      Logger.getLogger(ReloadSignal.class).warn(Messages.SIGNAL_NOT_HANDLED, failure);
    }
  }

  private void onSignal() {
    Runnable current;
    synchronized (this) {
      current = action;
      pending |= current == null;
    }
    if (current != null) {
      current.run();
    }
  }

  private void setAction(Runnable newAction) {
    boolean isDue;
    synchronized (this) {
      action = newAction;
      isDue = pending;
      pending = false;
    }
    if (isDue) {
      newAction.run();
    }
  }
}
