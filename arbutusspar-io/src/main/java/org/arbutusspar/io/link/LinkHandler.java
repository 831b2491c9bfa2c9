package org.arbutusspar.io.link;

import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.member.MemberRecord;

/** Told what happens on links, on the links' threads. Implementations must not block. */
public interface LinkHandler {

  /** Returns the instance's own record, for handshakes. */
  MemberRecord self();

  /**
   * A link that this instance opened is up.
   *
   * @param link the link
   */
  void onUp(Link link);

  /**
   * A link that was up has ended; it is opened again while it is wanted.
   *
   * @param link the link
   */
  void onDown(Link link);

  /**
   * A link could not be opened.
   *
   * @param endpoint where the fellow should listen
   * @param reason why
   */
  void onFailed(Endpoint endpoint, String reason);

  /**
   * A message arrived.
   *
   * @param link the link, on which to answer
   * @param message the message
   */
  void onMessage(Link link, LinkMessage message);
}
