package org.hemlockpick.standin;

/**
 * HTTP request to a stand-in.
 *
 * @param method HTTP method in capital letters
 * @param path path relative to the stand-in's prefix, with a leading slash
 * @param body body as UTF-8 text; may be empty
 */
public record Call(String method, String path, String body) {
  /** Returns whether the call is a POST to the path. */
  boolean isPost(String expectedPath) {
    return method.equals("POST") && path.equals(expectedPath);
  }

  /** Returns whether the call is a GET of the path. */
  boolean isGet(String expectedPath) {
    return method.equals("GET") && path.equals(expectedPath);
  }
}
