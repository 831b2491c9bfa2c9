package org.arbutusspar.core.peer;

/** Baseline: each instance reads the store, so calls grow with the number of instances. */
public final class EveryInstanceReads implements StoreReaders {

  private EveryInstanceReads() {}

  /** Returns the baseline. */
  public static EveryInstanceReads create() {
    return new EveryInstanceReads();
  }

  @Override
  public StoreRole role(PeerTable peers, long now) {
    return StoreRole.READER;
  }
}
