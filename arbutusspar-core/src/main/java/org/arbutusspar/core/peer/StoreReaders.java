package org.arbutusspar.core.peer;

/** Decides whether an instance reads the tables from the store, or relies on its peers' copies. */
public interface StoreReaders {

  /**
   * Returns the role of this instance.
   *
   * @param peers the peers and their last statuses, not null
   * @param now current monotonic time, in nanoseconds
   * @return the role
   */
  StoreRole role(PeerTable peers, long now);
}
