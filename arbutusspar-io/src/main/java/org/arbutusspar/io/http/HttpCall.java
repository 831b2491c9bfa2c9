package org.arbutusspar.io.http;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.eclipse.jetty.http.HttpMethod;

/**
 * An outgoing HTTP call. Immutable.
 *
 * @param method the method
 * @param uri the URI
 * @param headers header fields by name
 * @param body JSON body; empty for no body
 * @param timeoutMillis maximum time until the response is complete, in milliseconds
 * @param pool name of the connection pool within the destination; calls with different pool names
 *     never share a connection
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

  /** Pool name of calls made by {@link #get} and {@link #post}. */
  public static final String DEFAULT_POOL = "default";

  /** Checks that no component is null, and copies the map. */
  public HttpCall {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(uri, "uri");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(pool, "pool");
    headers = Map.copyOf(headers);
  }

  /**
   * Returns a GET call.
   *
   * @param uri the URI, not null
   * @param timeoutMillis maximum time until the response is complete, in milliseconds
   * @return the call
   */
  public static HttpCall get(URI uri, long timeoutMillis) {
    return new HttpCall(HttpMethod.GET, uri, Map.of(), "", timeoutMillis, DEFAULT_POOL, false);
  }

  /**
   * Returns a POST call with a JSON body.
   *
   * @param uri the URI, not null
   * @param body the JSON text, not null
   * @param timeoutMillis maximum time until the response is complete, in milliseconds
   * @return the call
   */
  public static HttpCall post(URI uri, String body, long timeoutMillis) {
    return new HttpCall(HttpMethod.POST, uri, Map.of(), body, timeoutMillis, DEFAULT_POOL, false);
  }

  /**
   * Returns a copy of the call with a header field set.
   *
   * @param name name of the field, not null
   * @param value value of the field, not null
   * @return the new call
   */
  public HttpCall with(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    more.put(name, value);
    return new HttpCall(method, uri, more, body, timeoutMillis, pool, closeAfter);
  }

  /**
   * Returns a copy of the call that uses the connection pool of the given name.
   *
   * @param name name of the pool, not null
   * @return the new call
   */
  public HttpCall inPool(String name) {
    return new HttpCall(method, uri, headers, body, timeoutMillis, name, closeAfter);
  }

  /**
   * Returns a copy of the call whose connection is closed after the call. Together with a pool
   * whose calls are all of this kind, the call gets a new connection.
   *
   * @return the new call
   */
  public HttpCall onDedicatedConnection() {
    return new HttpCall(method, uri, headers, body, timeoutMillis, pool, true);
  }
}
