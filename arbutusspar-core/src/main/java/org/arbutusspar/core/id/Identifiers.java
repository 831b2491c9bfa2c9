package org.arbutusspar.core.id;

import java.util.function.IntPredicate;
import org.apache.commons.lang3.Validate;

/** Checks of texts that identifier types share. */
final class Identifiers {

  /** Maximum length of a name, in characters. */
  static final int MAX_NAME_CHARS = 63;

  private Identifiers() {}

  /**
   * Checks that a text is a valid name: 1 to 63 characters of a-z, 0-9 and hyphen.
   *
   * @param value the text to check, may be null
   * @param noun what the name denotes, used in error messages
   * @return {@code value} itself
   * @throws IllegalArgumentException if the text is null, empty, too long or holds another
   *     character
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
   * Returns whether a text is not empty and consists of accepted characters only.
   *
   * @param text the text, may be null
   * @param maxChars maximum length of the text, in characters
   * @param accepted predicate that is true for accepted characters, not null
   * @return true if the text has 1 to {@code maxChars} characters and all of them are accepted
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

  /** Returns whether a character is an ASCII letter, a digit, a hyphen or an underscore. */
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
