package org.hemlockpick.daemon;

/**
 * A fault in a settings file.
 *
 * @param file name of the file as the user gave it
 * @param line line number of the fault, from 1
 * @param key dotted key with the fault; empty if the file has no readable key there
 * @param message description of the fault
 */
public record SettingsFault(String file, int line, String key, String message) {

  /** Returns the fault as one line: file, line, key and message. */
  @Override
  public String toString() {
    return key.isEmpty()
        ? file + ":" + line + ": " + message
        : file + ":" + line + ": " + key + ": " + message;
  }
}
