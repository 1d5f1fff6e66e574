package org.hemlockpick.standin;

/** Error messages for callers and the log. */
final class Messages {
  private Messages() {}

  static String noSuchPath(String method, String path) {
    return "no such path: " + method + " " + path;
  }

  static String notTheMessage(String type, String reason) {
    return "the body is not the JSON form of " + type + ": " + reason;
  }

  static String badFaults(String reason) {
    return "the body is not a set of faults: " + reason;
  }

  static String unknownFault(String name) {
    return "unknown fault: " + name;
  }

  static String down() {
    return "the service is down";
  }

  static String internal() {
    return "internal error";
  }

  static String emptyCall() {
    return "the call has no body";
  }

  static String noName() {
    return "the instance has no name";
  }

  static String unknownInstance(String name) {
    return "no such instance: " + name;
  }

  static String badSetting(String key) {
    return "bad or missing setting: " + key;
  }

  static String callFailed(String address, String reason) {
    return "call to " + address + " failed: " + reason;
  }
}
