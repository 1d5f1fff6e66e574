package org.hemlockpick.standin;

/**
 * An HTTP request to a stand-in.
 *
 * @param method method in capital letters
 * @param path path below the stand-in's prefix, starting with a slash
 * @param body body as UTF-8 text; may be empty
 */
public record Call(String method, String path, String body) {
  /** Tells whether the call is a POST to the path. */
  boolean isPost(String expectedPath) {
    return method.equals("POST") && path.equals(expectedPath);
  }

  /** Tells whether the call is a GET of the path. */
  boolean isGet(String expectedPath) {
    return method.equals("GET") && path.equals(expectedPath);
  }
}
