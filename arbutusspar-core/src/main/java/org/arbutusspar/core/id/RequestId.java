package org.arbutusspar.core.id;

import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * Identifier of a request: a signed prefix that an entry instance issued, and a suffix that the
 * caller chooses.
 *
 * <p>Text form: {@code instance.incarnation.issuedAt.signature.suffix}, with the incarnation and
 * the time of issue in hexadecimal.
 *
 * @param prefix the signed prefix, which names the home of the request
 * @param suffix 1 to 64 letters, digits, hyphens or underscores
 */
public record RequestId(RequestPrefix prefix, String suffix) {

  /** Maximum length of the text form, in characters. */
  public static final int MAX_CHARS = 200;

  private static final int MAX_SUFFIX_CHARS = 64;

  /** Checks the components. */
  public RequestId {
    Objects.requireNonNull(prefix, "prefix");
    Validate.isTrue(
        Identifiers.consistsOf(suffix, MAX_SUFFIX_CHARS, Identifiers::isWordChar),
        "identifier suffix must be 1 to 64 letters, digits, hyphens or underscores");
  }

  /**
   * Parses the text form of an identifier. The signature is not verified.
   *
   * @param text the text form
   * @return the identifier
   * @throws IllegalArgumentException if the text is null, too long or malformed
   */
  public static RequestId parse(String text) {
    Validate.isTrue(text != null && text.length() <= MAX_CHARS, "identifier is null or too long");
    int lastDot = text.lastIndexOf('.');
    Validate.isTrue(lastDot > 0, "identifier has no prefix");
    return new RequestId(
        RequestPrefix.parse(text.substring(0, lastDot)), text.substring(lastDot + 1));
  }

  /** Returns the incarnation that is home to the request. */
  public Home home() {
    return prefix.home();
  }

  @Override
  public String toString() {
    return prefix + "." + suffix;
  }
}
