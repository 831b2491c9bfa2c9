package org.arbutusspar.io.http;

import java.util.List;
import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;

/**
 * An outgoing HTTP call that is sent unchanged: the client adds nothing to its target, header
 * fields or body except the fields that frame the message.
 *
 * @param method the method
 * @param endpoint the destination
 * @param target raw path and query
 * @param fields header fields, without those that frame the message, such as Content-Length
 * @param body the body, empty for no body; not to be modified
 * @param timeoutMillis maximum time until the response is complete, in milliseconds; 0 for no limit
 * @param keepConnection whether the connection may be reused after the call
 */
public record RawCall(
    String method,
    Endpoint endpoint,
    String target,
    List<HeaderField> fields,
    byte[] body,
    long timeoutMillis,
    boolean keepConnection) {

  /** Checks that no component is null, and copies the list. */
  public RawCall {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(body, "body");
    fields = List.copyOf(fields);
  }

  /** Returns a copy of the call with another body. */
  public RawCall withBody(byte[] newBody) {
    return new RawCall(method, endpoint, target, fields, newBody, timeoutMillis, keepConnection);
  }

  /** Returns a copy of the call with other header fields. */
  public RawCall withFields(List<HeaderField> newFields) {
    return new RawCall(method, endpoint, target, newFields, body, timeoutMillis, keepConnection);
  }
}
