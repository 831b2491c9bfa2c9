package org.arbutusspar.core.id;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.apache.commons.lang3.Validate;

/**
 * Issues signed request prefixes and verifies their signatures. The signature is an HMAC-SHA-256
 * truncated to 8 bytes. Thread-safe.
 */
public final class PrefixSigner {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int MIN_SECRET_BYTES = 16;
  private static final int SIGNATURE_BYTES = 8;

  private final Mac mac;

  private PrefixSigner(byte[] secret) {
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the runtime lacks " + ALGORITHM, e);
    }
  }

  /**
   * Returns a signer with the secret that all entry instances of a deployment share.
   *
   * @param secret the secret, at least 16 bytes, not null; it is copied
   * @return the signer
   * @throws IllegalArgumentException if the secret is null or too short
   */
  public static PrefixSigner create(byte[] secret) {
    Validate.isTrue(
        secret != null && secret.length >= MIN_SECRET_BYTES,
        "secret must have at least %d bytes",
        MIN_SECRET_BYTES);
    return new PrefixSigner(secret.clone());
  }

  /**
   * Returns a signed prefix.
   *
   * @param home incarnation that the prefix names, not null
   * @param issuedAtMillis wall-clock time of issue, in milliseconds since the epoch
   * @return the prefix
   */
  public RequestPrefix issue(Home home, long issuedAtMillis) {
    return new RequestPrefix(home, issuedAtMillis, sign(home, issuedAtMillis));
  }

  /**
   * Returns whether the signature of a prefix was made with the secret of this signer.
   *
   * @param prefix the prefix, not null
   * @return true if an instance of this deployment issued the prefix
   */
  public boolean isGenuine(RequestPrefix prefix) {
    byte[] expected = sign(prefix.home(), prefix.issuedAtMillis()).getBytes(StandardCharsets.UTF_8);
    return MessageDigest.isEqual(expected, prefix.signature().getBytes(StandardCharsets.UTF_8));
  }

  private synchronized String sign(Home home, long issuedAtMillis) {
    String text = RequestPrefix.signedPart(home, issuedAtMillis);
    byte[] full = mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(full, 0, SIGNATURE_BYTES);
  }
}
