package org.arbutusspar.core.flow;

import java.util.Optional;

/** Queue of the requests that wait for a replica of one service. */
interface StageQueue {

  /**
   * Adds a request.
   *
   * @param entry the request's entry, not null
   */
  void add(QueueEntry entry);

  /**
   * Removes and returns the entry of the request to send next.
   *
   * @return the entry, or empty if no request waits
   */
  Optional<QueueEntry> poll();

  /**
   * Returns a request that was polled but could not be sent to its place in the queue.
   *
   * @param entry new entry of the request, not null
   */
  void putBack(QueueEntry entry);

  /**
   * Removes a request that is not to be sent any more. Has no effect if it was removed before.
   *
   * @param entry the request's entry, not null
   */
  void remove(QueueEntry entry);

  /** Returns the number of waiting requests. */
  int size();
}
