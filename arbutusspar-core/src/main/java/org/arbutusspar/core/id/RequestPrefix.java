package org.arbutusspar.core.id;

import java.util.Objects;
import org.apache.commons.lang3.StringUtils;
import org.apache.commons.lang3.Validate;

/**
 * Signed first part of a request identifier, which callers receive together with an address.
 *
 * @param home incarnation that is home to all requests with this prefix
 * @param issuedAtMillis wall-clock time of issue, in milliseconds since the epoch
 * @param signature truncated HMAC, 16 lower-case hexadecimal digits
 */
public record RequestPrefix(Home home, long issuedAtMillis, String signature) {

  private static final int PARTS = 4;
  private static final int HEX_RADIX = 16;
  private static final int SIGNATURE_CHARS = 16;

  /** Checks the components. */
  public RequestPrefix {
    Objects.requireNonNull(home, "home");
    Validate.isTrue(
        signature != null
            && signature.length() == SIGNATURE_CHARS
            && Identifiers.consistsOf(signature, SIGNATURE_CHARS, Identifiers::isHexDigit),
        "prefix signature is malformed");
  }

  /**
   * Parses the text form of a prefix. The signature is not verified.
   *
   * @param text the text form, not null
   * @return the prefix
   * @throws IllegalArgumentException if the text is malformed
   */
  public static RequestPrefix parse(String text) {
    String[] parts = StringUtils.splitPreserveAllTokens(text, '.');
    Validate.isTrue(parts.length == PARTS, "identifier prefix must have %d parts", PARTS);
    try {
      Home home = new Home(InstanceId.of(parts[0]), Long.parseUnsignedLong(parts[1], HEX_RADIX));
      return new RequestPrefix(home, Long.parseUnsignedLong(parts[2], HEX_RADIX), parts[3]);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("identifier prefix holds a malformed number", e);
    }
  }

  /** Returns the part of the text form that is signed. */
  static String signedPart(Home home, long issuedAtMillis) {
    return home + "." + Long.toHexString(issuedAtMillis);
  }

  @Override
  public String toString() {
    return signedPart(home, issuedAtMillis) + "." + signature;
  }
}
