package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micronaut.http.client.exceptions.ResponseClosedException;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class DroppedErrorTest {
  /**
   * Guards against a stack trace of thirty lines in the log for each large call that times out
   * before its answer begins.
   */
  @Test
  void connectionClosedAfterItsCallIsNotLogged() {
    assertFalse(Logging.isUnreported(line(new ResponseClosedException("closed"))));
  }

  @Test
  void otherDroppedErrorsAreLogged() {
    assertTrue(Logging.isUnreported(line(new IllegalStateException("fault"))));
  }

  private static LogRecord line(Throwable thrown) {
    LogRecord line = new LogRecord(Level.SEVERE, "Operator called default onErrorDropped");
    line.setThrown(thrown);
    return line;
  }
}
