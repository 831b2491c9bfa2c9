package org.arbutusspar.io.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Limits the number of interim responses (status 1xx) that precede the response to a request. Each
 * of them is a complete header of its own, so that a limit on the size of a header does not bound
 * them. Not thread-safe.
 */
final class InterimResponseLimit {

  private static final int MAX_INTERIM_RESPONSES = 8;

  /** Position in a status line of the first digit of the status, after "HTTP/1.1 ". */
  private static final int STATUS_POSITION = 9;

  /** Bytes that end a header. */
  private static final byte[] HEADER_END = {'\r', '\n', '\r', '\n'};

  private int interimResponses;

  /** Number of bytes of the current header that have been read. */
  private int headerBytes;

  /** Number of bytes of {@link #HEADER_END} that the last bytes match. */
  private int matchedEndBytes;

  /** Whether the current header is that of the final response, after which nothing is counted. */
  private boolean isFinal;

  private InterimResponseLimit() {}

  static InterimResponseLimit create() {
    return new InterimResponseLimit();
  }

  /** Starts anew for the response to another request, or for the same if more of it is sent. */
  void onRequest() {
    interimResponses = 0;
    headerBytes = 0;
    matchedEndBytes = 0;
    isFinal = false;
  }

  /**
   * Counts the interim responses in received bytes.
   *
   * @param bytes the bytes, which are consumed
   * @throws IOException if there are too many interim responses
   */
  void onBytes(ByteBuffer bytes) throws IOException {
    while (!isFinal && bytes.hasRemaining()) {
      byte next = bytes.get();
      if (headerBytes++ == STATUS_POSITION) {
        isFinal = next != '1';
      }
      matchedEndBytes = next == HEADER_END[matchedEndBytes] ? matchedEndBytes + 1 : 0;
      if (matchedEndBytes == HEADER_END.length) {
        onHeaderEnd();
      }
    }
  }

  private void onHeaderEnd() throws IOException {
    headerBytes = 0;
    matchedEndBytes = 0;
    if (++interimResponses > MAX_INTERIM_RESPONSES) {
      throw new IOException("more than " + MAX_INTERIM_RESPONSES + " interim responses");
    }
  }
}
