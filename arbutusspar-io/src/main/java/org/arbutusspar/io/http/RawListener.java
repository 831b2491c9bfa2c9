package org.arbutusspar.io.http;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * Receives the events of a call, one after the other, on threads of the client. If {@link
 * #onHeaders} or {@link #onContent} throws, the call is cancelled and fails with that exception.
 */
public interface RawListener {

  /**
   * Called immediately before the first byte is sent. Not called if no connection could be
   * established.
   *
   * @return true to send the call, after which it may have run at the peer; false to fail it
   *     without sending any byte
   */
  boolean beforeSend();

  /**
   * Called when the header of the response has arrived.
   *
   * @param status status code
   * @param fields header fields, unchanged
   */
  void onHeaders(int status, List<HeaderField> fields);

  /**
   * Called for each part of the response body. The next part is not delivered until this one is
   * acknowledged.
   *
   * @param part the part; the listener may keep it
   * @param acknowledge to be run when the listener is ready for the next part
   */
  void onContent(ByteBuffer part, Runnable acknowledge);

  /** Called when the response is complete. */
  void onSuccess();

  /**
   * Called when the call has failed or was cancelled.
   *
   * @param cause the cause
   */
  void onFailure(Throwable cause);
}
