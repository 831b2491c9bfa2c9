package org.arbutusspar.core.peer;

import org.arbutusspar.core.Nanos;

/**
 * A few instances read the store, and the others copy the changes from them.
 *
 * <p>Load pattern: the store is asked continuously, also while nothing changes, and each call has a
 * price, whereas a change is rare. The first {@link #READERS} hubs that reach the store read it.
 * Any other instance reads as well while no peer has had an answer of the store within {@link
 * #MAX_CONTACT_AGE_NANOS}, so that the loss of all readers delays a change by that time at most.
 */
public final class FewInstancesRead implements StoreReaders {

  /** Number of instances that read. A reader may fail unnoticed for seconds, two rarely do. */
  static final int READERS = 3;

  /**
   * Age of the last answer of the store to any peer from which on an instance reads for itself, in
   * nanoseconds, beyond the interval of the peer's heartbeats. A reader that reaches the store has
   * an answer each second.
   */
  static final long MAX_CONTACT_AGE_NANOS = Nanos.ofMillis(1_100);

  private FewInstancesRead() {}

  /** Returns the decision. */
  public static FewInstancesRead create() {
    return new FewInstancesRead();
  }

  @Override
  public StoreRole role(PeerTable peers, long now) {
    if (isAmongReaders(peers, now)) {
      return StoreRole.READER;
    }
    return peers.storeContactAge(now) > MAX_CONTACT_AGE_NANOS
        ? StoreRole.FALLBACK
        : StoreRole.FOLLOWER;
  }

  private static boolean isAmongReaders(PeerTable peers, long now) {
    int ahead = 0;
    for (Peer peer : peers.hubs(now)) {
      if (peer.equals(peers.self())) {
        return ahead < READERS;
      }
      if (!peers.status(peer.name()).store().unreachable()) {
        ahead++;
      }
    }
    return false;
  }
}
