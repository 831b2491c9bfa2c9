package org.arbutusspar.io.http;

import java.nio.ByteBuffer;
import java.util.List;

/** Told of the steps of a call, one after the other, on threads of the client. */
public interface RawListener {

  /**
   * The first byte is about to be handed to the peer; not asked if no connection was made.
   *
   * @return whether it may be; if not, the call fails without it
   */
  boolean beforeSend();

  /**
   * The answer's header arrived.
   *
   * @param status status code
   * @param fields header fields as they stood
   */
  void onHeaders(int status, List<HeaderField> fields);

  /**
   * A part of the body arrived. No further part is told of until this one is acknowledged.
   *
   * @param part the part, may be kept
   * @param acknowledge to be run once the next part may come
   */
  void onContent(ByteBuffer part, Runnable acknowledge);

  /** The answer arrived whole. */
  void onSuccess();

  /**
   * The call failed or was cancelled.
   *
   * @param cause why
   */
  void onFailure(Throwable cause);
}
