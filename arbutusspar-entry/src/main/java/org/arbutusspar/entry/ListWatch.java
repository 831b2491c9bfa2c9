package org.arbutusspar.entry;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.io.KeyValueLine;
import org.arbutusspar.io.platform.Listing;
import org.arbutusspar.io.platform.PlatformList;

/**
 * Reads the platform's list of instances and replicas at an interval, and reports changes to the
 * membership and the coordinator. State is confined to the decision thread.
 */
final class ListWatch {

  private static final Logger LOG = LogManager.getLogger(ListWatch.class);

  /** Time from the end of one read to the start of the next. */
  private static final long READ_INTERVAL_MILLIS = 1_000;

  private final PlatformList list;
  private final DecisionLoop loop;
  private final DecisionRuntime runtime;
  private final PeerLinks peers;
  private final ScheduledExecutorService timer;
  private Listing current = Listing.EMPTY;
  private volatile boolean hasRead;

  private ListWatch(
      PlatformList list,
      DecisionLoop loop,
      DecisionRuntime runtime,
      PeerLinks peers,
      ScheduledExecutorService timer) {
    this.list = list;
    this.loop = loop;
    this.runtime = runtime;
    this.peers = peers;
    this.timer = timer;
  }

  /**
   * Returns a watch that has not read the list.
   *
   * @param list the platform's list, not null
   * @param loop loop of the decision thread, not null
   * @param runtime gets changes of the replicas, not null
   * @param peers gets the listed instances as gossip seeds, not null
   * @param timer schedules reads, not null
   * @return the watch
   */
  static ListWatch create(
      PlatformList list,
      DecisionLoop loop,
      DecisionRuntime runtime,
      PeerLinks peers,
      ScheduledExecutorService timer) {
    return new ListWatch(
        Objects.requireNonNull(list, "list"),
        Objects.requireNonNull(loop, "loop"),
        Objects.requireNonNull(runtime, "runtime"),
        Objects.requireNonNull(peers, "peers"),
        Objects.requireNonNull(timer, "timer"));
  }

  /** Reads the list now and, after each read, again at {@link #READ_INTERVAL_MILLIS}. */
  void start() {
    list.read()
        .whenComplete(
            (listing, failure) -> {
              if (failure == null) {
                loop.post(() -> onListing(listing));
              } else {
                LOG.warn(
                    KeyValueLine.event("list-read-failed").with("error", failure.getMessage()));
              }
              timer.schedule(this::start, READ_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            });
  }

  /** Returns whether the list has been read at least once. Thread-safe. */
  boolean hasRead() {
    return hasRead;
  }

  /** Reports a changed listing. One without replicas is ignored if the current one has some. */
  private void onListing(Listing listing) {
    hasRead = true;
    boolean becameEmpty = listing.replicas().isEmpty() && !current.replicas().isEmpty();
    if (listing.equals(current) || becameEmpty) {
      return;
    }
    current = listing;
    List<Endpoint> seeds = listing.instances().stream().map(Listing.ListedInstance::links).toList();
    peers.membership().onListed(seeds);
    runtime.handle(new Event.Listed(listing.replicas()));
    LOG.info(
        KeyValueLine.event("listed")
            .with("instances", listing.instances().size())
            .with("replicas", listing.replicas().size()));
  }
}
