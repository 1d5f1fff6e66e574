package org.hemlockpick.transport.http;

import com.google.protobuf.MessageOrBuilder;

/**
 * A call to be sent.
 *
 * @param path path at the destination, starting with a slash
 * @param message body; sent in its JSON form
 * @param clock Lamport clock of the sender
 * @param timeoutMillis time until the call counts as lost
 */
record MessagePost(String path, MessageOrBuilder message, long clock, long timeoutMillis) {}
