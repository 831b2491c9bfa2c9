package org.arbutusspar.io.link;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.id.Home;

/** Secret shared by the entry instances of one deployment. Thread-safe. */
public final class LinkSecret {

  /** Minimum length of a secret, in bytes. */
  public static final int MIN_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 16;

  private final SecureRandom random = new SecureRandom();
  private final byte[] secret;

  private LinkSecret(byte[] secret) {
    this.secret = secret;
  }

  /**
   * Returns the secret given by a text.
   *
   * @param text the secret, at least {@link #MIN_BYTES} bytes long in UTF-8, not null
   * @return the secret
   * @throws IllegalArgumentException if the text is too short
   */
  public static LinkSecret of(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    Validate.isTrue(bytes.length >= MIN_BYTES, "secret must have at least 16 bytes");
    return new LinkSecret(bytes);
  }

  /** Returns a copy of the secret's bytes. */
  public byte[] bytes() {
    return secret.clone();
  }

  byte[] newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  /**
   * Returns the handshake proof of one side: an HMAC of its role, both nonces and its identity. The
   * role is included so that a proof cannot be reflected to its sender.
   */
  byte[] proof(Role role, byte[] openerNonce, byte[] accepterNonce, Home home) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
      mac.update((byte) role.ordinal());
      mac.update(openerNonce);
      mac.update(accepterNonce);
      return mac.doFinal(home.toString().getBytes(StandardCharsets.UTF_8));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java runtime does not support " + ALGORITHM, e);
    }
  }

  /** Returns whether a received proof is valid; false if a part is null or has a wrong length. */
  boolean isProof(byte[] proof, Role role, byte[] openerNonce, byte[] accepterNonce, Home home) {
    boolean wellFormed = proof != null && openerNonce != null && accepterNonce != null;
    return wellFormed
        && openerNonce.length == NONCE_BYTES
        && accepterNonce.length == NONCE_BYTES
        && MessageDigest.isEqual(proof, proof(role, openerNonce, accepterNonce, home));
  }

  /** Side of a handshake. The ordinal is part of the input of the proof. */
  enum Role {
    /** The instance that opened the connection. */
    OPENER,
    /** The instance that accepted the connection. */
    ACCEPTER
  }
}
