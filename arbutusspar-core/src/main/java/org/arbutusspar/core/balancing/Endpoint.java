package org.arbutusspar.core.balancing;

import org.apache.commons.lang3.Validate;

/**
 * Network address on which a process accepts connections.
 *
 * @param host IPv4 or IPv6 address in text form
 * @param port TCP port, 1 to 65535
 */
public record Endpoint(String host, int port) {

  private static final int MAX_PORT = 65_535;

  /** Checks the components. */
  public Endpoint {
    Validate.isTrue(
        host != null && host.matches("[0-9A-Fa-f.:]{2,45}"), "host must be an IP address");
    Validate.inclusiveBetween(1, MAX_PORT, port, "port must be from 1 to 65535");
  }

  /**
   * Parses an endpoint.
   *
   * @param text text of the form {@code host:port}
   * @return the endpoint
   * @throws IllegalArgumentException if the text is null or malformed
   */
  public static Endpoint parse(String text) {
    int colon = text == null ? -1 : text.lastIndexOf(':');
    Validate.isTrue(colon > 0, "endpoint must have the form IP:PORT: '%s'", text);
    try {
      return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("endpoint has a malformed port: '" + text + "'", e);
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
