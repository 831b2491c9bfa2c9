package org.arbutusspar.entry;

import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;

/** Where the outcome of a request goes. */
interface ReplyTarget {

  /**
   * Gives the final answer.
   *
   * @param key identity of the request
   * @param outcome the outcome
   */
  void reply(RequestKey key, Outcome outcome);

  /**
   * Gives a part of the answer.
   *
   * @param text the part
   * @param restart whether parts given before are void
   */
  default void emit(String text, boolean restart) {}
}
