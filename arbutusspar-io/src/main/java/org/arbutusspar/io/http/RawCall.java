package org.arbutusspar.io.http;

import java.util.List;
import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;

/**
 * An HTTP call that is sent as it stands: nothing is added to its target, fields or body but what
 * frames the message.
 *
 * @param method the method
 * @param endpoint where to
 * @param target raw path and query
 * @param fields header fields, without those that frame the message
 * @param body the body; empty for none; not to be changed
 * @param timeoutMillis longest time until the whole answer is there, 0 for no limit
 * @param keepConnection whether the connection may be used again
 */
public record RawCall(
    String method,
    Endpoint endpoint,
    String target,
    List<HeaderField> fields,
    byte[] body,
    long timeoutMillis,
    boolean keepConnection) {

  /** Checks the components and copies the list. */
  public RawCall {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(body, "body");
    fields = List.copyOf(fields);
  }

  /** Returns the call with another body. */
  public RawCall withBody(byte[] newBody) {
    return new RawCall(method, endpoint, target, fields, newBody, timeoutMillis, keepConnection);
  }

  /** Returns the call with other header fields. */
  public RawCall withFields(List<HeaderField> newFields) {
    return new RawCall(method, endpoint, target, newFields, body, timeoutMillis, keepConnection);
  }
}
