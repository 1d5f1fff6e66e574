package org.hemlockpick.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.util.logging.ErrorManager;
import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Writes each record with a single call to its stream, so that the lines of processes that append
 * to the same file do not interleave.
 */
final class LineHandler extends ExtHandler {
  private final OutputStream stream;
  private final JsonLineFormatter formatter;

  /**
   * Creates a handler.
   *
   * @param stream unbuffered stream
   * @param formatter formats the lines
   */
  LineHandler(OutputStream stream, JsonLineFormatter formatter) {
    this.stream = stream;
    this.formatter = formatter;
  }

  @Override
  protected void doPublish(ExtLogRecord logRecord) {
    try {
      stream.write(formatter.format(logRecord));
    } catch (IOException e) {
      reportError(Messages.LINE_NOT_WRITTEN, e, ErrorManager.WRITE_FAILURE);
    }
  }
}
