package org.arbutusspar.core.placement;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import org.arbutusspar.core.balancing.Rendezvous;

/**
 * What makes two requests the same, whichever instance they arrive at: path, caller and body.
 *
 * <p>The digest of the body is computed on first use. Not thread-safe.
 */
public final class RequestIdentity {

  /** Prefix of the subject of a request; identifiers of prompt parts never contain a slash. */
  public static final String SUBJECT_PREFIX = "request/";

  private static final int DIGEST_BYTES = 16;

  private final String head;
  private final byte[] body;
  private String subject;

  private RequestIdentity(String head, byte[] body) {
    this.head = head;
    this.body = body;
  }

  /**
   * Returns the identity of a request.
   *
   * @param host host that the request names, not null
   * @param target raw path and query, not null
   * @param caller name of the caller, the empty string if it is anonymous, not null
   * @param body the body, not null, not to be modified
   * @return the identity
   */
  public static RequestIdentity of(String host, String target, String caller, byte[] body) {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(caller, "caller");
    Objects.requireNonNull(body, "body");
    String head =
        String.join(
            "\n", caller, host, target, caller.length() + "," + host.length() + "," + body.length);
    long hash = Rendezvous.hash(head);
    return new RequestIdentity(HexFormat.of().toHexDigits(hash), body);
  }

  /**
   * Returns the part of the subject that is known without reading the body. Requests with another
   * head are different.
   */
  public String head() {
    return head;
  }

  /** Returns the head of a subject, or the subject itself if it is none of a request. */
  public static String headOf(String subject) {
    int start = subject.startsWith(SUBJECT_PREFIX) ? SUBJECT_PREFIX.length() : 0;
    int end = subject.indexOf('-', start);
    return end < 0 ? subject : subject.substring(start, end);
  }

  /** Returns the name of the request for block decisions, the same for equal requests. */
  public String subject() {
    if (subject == null) {
      byte[] digest = sha256().digest(body);
      subject = SUBJECT_PREFIX + head + '-' + HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
    }
    return subject;
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("each Java platform has SHA-256", e);
    }
  }
}
