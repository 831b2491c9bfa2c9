package org.arbutusspar.core.id;

import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * Identifier of a request: a signed prefix that names its home, and a suffix that the caller chose.
 *
 * <p>Text form: {@code instance.incarnation.issuedAt.signature.suffix}, with the two numbers in
 * hexadecimal.
 *
 * @param prefix the signed prefix
 * @param suffix 1 to 64 letters, digits, hyphens or underscores
 */
public record RequestId(RequestPrefix prefix, String suffix) {

  /** Longest accepted text form, in characters. */
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
   * Returns the identifier that a text denotes. The signature is not checked here.
   *
   * @param text the text form, not null
   * @return the identifier
   * @throws IllegalArgumentException if the text is malformed
   */
  public static RequestId parse(String text) {
    Validate.isTrue(text != null && text.length() <= MAX_CHARS, "identifier is null or too long");
    int cut = text.lastIndexOf('.');
    Validate.isTrue(cut > 0, "identifier has no prefix");
    return new RequestId(RequestPrefix.parse(text.substring(0, cut)), text.substring(cut + 1));
  }

  /** Returns the incarnation that the identifier names. */
  public Home home() {
    return prefix.home();
  }

  @Override
  public String toString() {
    return prefix + "." + suffix;
  }
}
