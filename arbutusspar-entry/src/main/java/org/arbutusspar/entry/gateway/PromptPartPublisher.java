package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.arbutusspar.core.peer.SharedTable;
import org.arbutusspar.core.placement.PromptPartVerdict;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.StoreClient;

/**
 * Passes the decisions of this instance on prompt parts on to the connected peers at once, and
 * appends them to the list of instances in the store, from which all instances learn them, also
 * those that start later.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class PromptPartPublisher implements Consumer<PromptPartVerdict> {

  /** Prefix of the keys of decisions in the list of instances. */
  private static final String KEY_PREFIX = "part/";

  /** Delay before an append that failed or was lost is repeated, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 500;

  private final PeerNetwork peerNetwork;
  private final StoreClient store;
  private final EventLoop loop;
  private final EventLog log;

  /** The last decision of this instance on each part that has not been stored. */
  private final Map<String, PromptPartVerdict> unstored = new HashMap<>();

  /** The last decision of this instance on each part that has been stored. */
  private final Map<String, PromptPartVerdict> stored = new HashMap<>();

  private PromptPartPublisher(
      PeerNetwork peerNetwork, StoreClient store, EventLoop loop, EventLog log) {
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
  static PromptPartPublisher create(
      PeerNetwork peerNetwork, StoreClient store, EventLoop loop, EventLog log) {
    return new PromptPartPublisher(peerNetwork, store, loop, log);
  }

  @Override
  public void accept(PromptPartVerdict verdict) {
    peerNetwork.sendToAll(new PeerMessage.PartVerdict(verdict));
    unstored.put(verdict.part(), verdict);
    append(verdict);
  }

  /**
   * Appends the decisions again that the store has lost, as when it has returned from a copy.
   *
   * @param instances the list of instances as it is known, not null
   */
  void publishLost(SharedTable instances) {
    for (PromptPartVerdict verdict : List.copyOf(stored.values())) {
      if (instances.value(KEY_PREFIX + verdict.part()).isEmpty()) {
        stored.remove(verdict.part());
        unstored.put(verdict.part(), verdict);
        retryLater(verdict);
      }
    }
  }

  private void append(PromptPartVerdict verdict) {
    byte[] value = PeerCodec.encode(new PeerMessage.PartVerdict(verdict), 0);
    store
        .append(StoreClient.INSTANCES_TOPIC, KEY_PREFIX + verdict.part(), Optional.of(value))
        .whenComplete((done, failure) -> loop.post(() -> onAppended(verdict, failure)));
  }

  private void onAppended(PromptPartVerdict verdict, Throwable failure) {
    if (failure == null) {
      if (unstored.remove(verdict.part(), verdict)) {
        stored.put(verdict.part(), verdict);
      }
      return;
    }
    log.write("part-not-stored", "part", verdict.part(), "error", failure.getMessage());
    retryLater(verdict);
  }

  private void retryLater(PromptPartVerdict verdict) {
    loop.after(
        RETRY_DELAY_MILLIS,
        () -> {
          if (verdict.equals(unstored.get(verdict.part()))) {
            append(verdict);
          }
        });
  }
}
