package org.hemlockpick.daemon;

/**
 * Describes one fault of a settings file.
 *
 * @param file name of the file as the user gave it
 * @param line line of the fault, from 1
 * @param key dotted key that is at fault; empty when the file has no readable key there
 * @param message what is wrong
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
