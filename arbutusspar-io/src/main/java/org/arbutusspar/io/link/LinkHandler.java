package org.arbutusspar.io.link;

import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.member.MemberRecord;

/** Receives link events, on the threads of the links. Implementations must not block. */
public interface LinkHandler {

  /** Returns this instance's current membership record, which handshakes send to peers. */
  MemberRecord self();

  /**
   * Called when a link that this instance initiated has completed its handshake.
   *
   * @param link the link
   */
  void onUp(Link link);

  /**
   * Called when a link that this instance initiated has closed. It is opened again while its
   * endpoint is a target.
   *
   * @param link the link
   */
  void onDown(Link link);

  /**
   * Called when a connection attempt of this instance, or the handshake on it, has failed. It is
   * repeated after a delay while the endpoint is a target.
   *
   * @param endpoint the target endpoint
   * @param reason description of the failure
   */
  void onFailed(Endpoint endpoint, String reason);

  /**
   * Called for each message received after the handshake.
   *
   * @param link the link it arrived on; responses are sent on the same link
   * @param message the message
   */
  void onMessage(Link link, LinkMessage message);
}
