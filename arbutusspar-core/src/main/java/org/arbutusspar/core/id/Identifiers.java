package org.arbutusspar.core.id;

import java.util.function.IntPredicate;
import org.apache.commons.lang3.Validate;

/** Shared checks of identifier texts. */
final class Identifiers {

  /** Longest accepted name, in characters. */
  static final int MAX_NAME_CHARS = 63;

  private Identifiers() {}

  /**
   * Checks that a text is a plain name: lower-case letters, digits and hyphens.
   *
   * @param value the text to check, may be null
   * @param noun the noun that the error message uses
   * @return {@code value} itself
   * @throws IllegalArgumentException if the text is null, too long or holds another character
   */
  static String requireName(String value, String noun) {
    Validate.isTrue(value != null, "%s must not be null", noun);
    Validate.isTrue(
        !value.isEmpty() && value.length() <= MAX_NAME_CHARS,
        "%s must have 1 to %d characters",
        noun,
        MAX_NAME_CHARS);
    for (int i = 0; i < value.length(); i++) {
      Validate.isTrue(
          isNameChar(value.charAt(i)), "%s must hold only a-z, 0-9 and hyphen: '%s'", noun, value);
    }
    return value;
  }

  /**
   * Returns whether every character of a text is accepted.
   *
   * @param text the text, may be null
   * @param maxChars most characters; there must be at least one
   * @param accepted tells which characters are accepted, not null
   * @return true if the text is neither null, empty nor too long and holds nothing else
   */
  static boolean consistsOf(String text, int maxChars, IntPredicate accepted) {
    return text != null
        && !text.isEmpty()
        && text.length() <= maxChars
        && text.chars().allMatch(accepted);
  }

  /** Returns whether a character is a lower-case hexadecimal digit. */
  static boolean isHexDigit(int c) {
    return c >= '0' && c <= '9' || c >= 'a' && c <= 'f';
  }

  /** Returns whether a character is a letter, digit, hyphen or underscore. */
  static boolean isWordChar(int c) {
    return c >= 'a' && c <= 'z'
        || c >= 'A' && c <= 'Z'
        || c >= '0' && c <= '9'
        || c == '-'
        || c == '_';
  }

  private static boolean isNameChar(char c) {
    return c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-';
  }
}
