package org.arbutusspar.io.codec;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 hashes of API keys, which are stored only as hashes. */
public final class Sha256 {

  private Sha256() {}

  /**
   * Returns the SHA-256 hash of the UTF-8 bytes of a text.
   *
   * @param text the text, not null
   * @return 64 lower-case hexadecimal digits
   */
  public static String hex(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the Java runtime does not support SHA-256", e);
    }
  }
}
