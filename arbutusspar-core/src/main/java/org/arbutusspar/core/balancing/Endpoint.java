package org.arbutusspar.core.balancing;

import java.util.regex.Pattern;
import org.apache.commons.lang3.Validate;

/**
 * Network address on which a process accepts connections.
 *
 * @param host IPv4 or IPv6 address in text form
 * @param port TCP port, 1 to 65535
 */
public record Endpoint(String host, int port) {

  private static final int MAX_PORT = 65_535;
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]{1,2})";
  private static final String HEX_GROUP = "[0-9A-Fa-f]{0,4}";

  /** Matches every IPv4 address, and texts that consist of the groups of an IPv6 address. */
  private static final Pattern IP_ADDRESS =
      Pattern.compile(
          "(%1$s\\.){3}%1$s|(%2$s:){2,7}(%2$s|(%1$s\\.){3}%1$s)".formatted(OCTET, HEX_GROUP));

  /** Checks the components. */
  public Endpoint {
    Validate.isTrue(
        host != null && IP_ADDRESS.matcher(host).matches(), "host must be an IP address");
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
