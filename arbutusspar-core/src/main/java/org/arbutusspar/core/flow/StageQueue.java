package org.arbutusspar.core.flow;

import java.util.Optional;

/** Requests that wait for a replica of one service. */
interface StageQueue {

  /**
   * Adds a request.
   *
   * @param entry the request's entry, not null
   */
  void add(QueueEntry entry);

  /**
   * Takes the request that is to run next.
   *
   * @return its entry, or empty if none waits
   */
  Optional<QueueEntry> poll();

  /**
   * Puts back an entry that was polled but could not be sent.
   *
   * @param entry the entry, not null
   */
  void putBack(QueueEntry entry);

  /**
   * Removes a request before it has run.
   *
   * @param entry its entry, not null
   */
  void remove(QueueEntry entry);

  /** Returns the number of waiting requests. */
  int size();
}
