package org.arbutusspar.io.link;

import org.arbutusspar.core.balancing.Endpoint;

/** Told what happens on connections, on the network's thread. Implementations must not block. */
public interface FrameHandler {

  /**
   * A connection is open.
   *
   * @param connection the connection
   */
  void onOpen(FrameConnection connection);

  /**
   * A frame arrived.
   *
   * @param connection the connection
   * @param body the frame's body
   */
  void onFrame(FrameConnection connection, byte[] body);

  /**
   * An open connection has ended.
   *
   * @param connection the connection
   * @param reason why
   */
  void onClosed(FrameConnection connection, String reason);

  /**
   * A connection could not be opened.
   *
   * @param peer where the other instance should listen
   * @param reason why
   */
  void onFailed(Endpoint peer, String reason);
}
