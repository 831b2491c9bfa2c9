package org.arbutusspar.io.link;

import org.arbutusspar.core.balancing.Endpoint;

/**
 * Receives the events of frame connections, on the thread of the {@link FrameNetwork}.
 * Implementations must not block.
 */
public interface FrameHandler {

  /**
   * Called when a connection is established.
   *
   * @param connection the connection
   */
  void onOpen(FrameConnection connection);

  /**
   * Called for each complete frame received.
   *
   * @param connection the connection
   * @param body the frame's body, without its length prefix
   */
  void onFrame(FrameConnection connection, byte[] body);

  /**
   * Called once when an established connection has closed.
   *
   * @param connection the connection
   * @param reason description of the cause
   */
  void onClosed(FrameConnection connection, String reason);

  /**
   * Called when an outgoing connection could not be established.
   *
   * @param peer the endpoint that was connected to
   * @param reason description of the cause
   */
  void onFailed(Endpoint peer, String reason);
}
