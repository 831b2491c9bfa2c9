package org.arbutusspar.io.http;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.eclipse.jetty.http.HttpMethod;

/**
 * An HTTP call to be made. Immutable.
 *
 * @param method the method
 * @param uri where to
 * @param headers header fields
 * @param body JSON body; empty for none
 * @param timeoutMillis longest time until the whole answer is there
 * @param pool name of the connection pool within the destination; calls of different names never
 *     share a connection
 * @param closeAfter whether the connection is closed after the call
 */
public record HttpCall(
    HttpMethod method,
    URI uri,
    Map<String, String> headers,
    String body,
    long timeoutMillis,
    String pool,
    boolean closeAfter) {

  /** Name of the pool of calls that name none. */
  public static final String DEFAULT_POOL = "default";

  /** Checks the components and copies the map. */
  public HttpCall {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(uri, "uri");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(pool, "pool");
    headers = Map.copyOf(headers);
  }

  /**
   * Returns a call that fetches something.
   *
   * @param uri where from, not null
   * @param timeoutMillis longest time until the whole answer is there
   * @return the call
   */
  public static HttpCall get(URI uri, long timeoutMillis) {
    return new HttpCall(HttpMethod.GET, uri, Map.of(), "", timeoutMillis, DEFAULT_POOL, false);
  }

  /**
   * Returns a call that sends JSON.
   *
   * @param uri where to, not null
   * @param body the JSON text, not null
   * @param timeoutMillis longest time until the whole answer is there
   * @return the call
   */
  public static HttpCall post(URI uri, String body, long timeoutMillis) {
    return new HttpCall(HttpMethod.POST, uri, Map.of(), body, timeoutMillis, DEFAULT_POOL, false);
  }

  /**
   * Returns the call with one more header field.
   *
   * @param name name of the field, not null
   * @param value its value, not null
   * @return the new call
   */
  public HttpCall with(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    more.put(name, value);
    return new HttpCall(method, uri, more, body, timeoutMillis, pool, closeAfter);
  }

  /**
   * Returns the call on a connection pool of its own.
   *
   * @param name name of the pool, not null
   * @return the new call
   */
  public HttpCall inPool(String name) {
    return new HttpCall(method, uri, headers, body, timeoutMillis, name, closeAfter);
  }

  /** Returns the call on a connection that no other call uses. */
  public HttpCall onDedicatedConnection() {
    return new HttpCall(method, uri, headers, body, timeoutMillis, pool, true);
  }
}
