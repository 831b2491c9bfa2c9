package org.arbutusspar.entry;

import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;

/** Receives the outcome of a request for a caller, over HTTP or on the link of a peer. */
interface ReplyTarget {

  /**
   * Sends the final outcome. Called at most once.
   *
   * @param key key of the request, not null
   * @param outcome the outcome, not null
   */
  void reply(RequestKey key, Outcome outcome);

  /**
   * Sends a part of the answer to a streaming caller. By default parts are dropped.
   *
   * @param text text of the part, not null
   * @param restart whether the caller must discard all earlier parts, because they come from
   *     another attempt
   */
  default void emit(String text, boolean restart) {}
}
