package org.hemlockpick.transport.http;

import com.google.protobuf.MessageOrBuilder;

/**
 * A message to post to an endpoint.
 *
 * @param path path at the endpoint, starting with a slash
 * @param message body; sent as JSON
 * @param clock Lamport clock of the sender
 * @param timeoutMillis time until the call counts as lost
 */
record MessagePost(String path, MessageOrBuilder message, long clock, long timeoutMillis) {}
