package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
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

  /** Delay before a failed append is retried, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 500;

  private final PeerNetwork peerNetwork;
  private final StoreClient store;
  private final EventLoop loop;
  private final EventLog log;

  /** The last decision on each part that has not been stored. */
  private final Map<String, PromptPartVerdict> unstored = new HashMap<>();

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

  private void append(PromptPartVerdict verdict) {
    byte[] value = PeerCodec.encode(new PeerMessage.PartVerdict(verdict), 0);
    store
        .append(StoreClient.INSTANCES_TOPIC, KEY_PREFIX + verdict.part(), Optional.of(value))
        .whenComplete((done, failure) -> loop.post(() -> onAppended(verdict, failure)));
  }

  private void onAppended(PromptPartVerdict verdict, Throwable failure) {
    if (failure == null) {
      unstored.remove(verdict.part(), verdict);
      return;
    }
    log.write("part-not-stored", "part", verdict.part(), "error", failure.getMessage());
    loop.after(
        RETRY_DELAY_MILLIS,
        () -> {
          if (verdict.equals(unstored.get(verdict.part()))) {
            append(verdict);
          }
        });
  }
}
