package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.arbutusspar.core.peer.SharedTable;
import org.arbutusspar.core.placement.BlockDecision;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.StoreClient;

/**
 * Passes the decisions of this instance on to the connected peers at once, and appends them to the
 * list of instances in the store, from which all instances learn them, also those that start later.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class BlockPublisher implements Consumer<BlockDecision> {

  /** Prefix of the keys of decisions in the list of instances. */
  private static final String KEY_PREFIX = "part/";

  /** Delay before an append that failed or was lost is repeated, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 500;

  private final PeerNetwork peerNetwork;
  private final StoreClient store;
  private final EventLoop loop;
  private final EventLog log;

  /** The last decision of this instance on each subject that has not been stored. */
  private final Map<String, BlockDecision> unstored = new HashMap<>();

  /** The last decision of this instance on each subject that has been stored. */
  private final Map<String, BlockDecision> stored = new HashMap<>();

  private BlockPublisher(PeerNetwork peerNetwork, StoreClient store, EventLoop loop, EventLog log) {
    this.peerNetwork = peerNetwork;
    this.store = store;
    this.loop = loop;
    this.log = log;
  }

  /**
   * Returns a publisher.
   *
   * @param peerNetwork sends decisions to the peers, not null
   * @param store client of the store, not null
   * @param loop runs the retries, not null
   * @param log receives the failures of appends, not null
   * @return the publisher
   */
  static BlockPublisher create(
      PeerNetwork peerNetwork, StoreClient store, EventLoop loop, EventLog log) {
    return new BlockPublisher(peerNetwork, store, loop, log);
  }

  @Override
  public void accept(BlockDecision decision) {
    peerNetwork.sendToAll(new PeerMessage.Block(decision));
    unstored.put(decision.subject(), decision);
    append(decision);
  }

  /**
   * Appends the decisions again that the store has lost, as when it has returned from a copy.
   *
   * @param instances the list of instances as it is known, not null
   */
  void publishLost(SharedTable instances) {
    for (BlockDecision decision : List.copyOf(stored.values())) {
      if (instances.value(KEY_PREFIX + decision.subject()).isEmpty()) {
        stored.remove(decision.subject());
        unstored.put(decision.subject(), decision);
        retryLater(decision);
      }
    }
  }

  private void append(BlockDecision decision) {
    byte[] value = PeerCodec.encode(new PeerMessage.Block(decision), 0);
    store
        .append(StoreClient.INSTANCES_TOPIC, KEY_PREFIX + decision.subject(), Optional.of(value))
        .whenComplete((done, failure) -> loop.post(() -> onAppended(decision, failure)));
  }

  private void onAppended(BlockDecision decision, Throwable failure) {
    if (failure == null) {
      if (unstored.remove(decision.subject(), decision)) {
        stored.put(decision.subject(), decision);
      }
      return;
    }
    log.write("part-not-stored", "part", decision.subject(), "error", failure.getMessage());
    retryLater(decision);
  }

  private void retryLater(BlockDecision decision) {
    loop.after(
        RETRY_DELAY_MILLIS,
        () -> {
          if (decision.equals(unstored.get(decision.subject()))) {
            append(decision);
          }
        });
  }
}
