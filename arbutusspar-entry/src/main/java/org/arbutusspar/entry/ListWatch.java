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

/** Follows the platform's list. State belongs to the decision thread. */
final class ListWatch {

  private static final Logger LOG = LogManager.getLogger(ListWatch.class);
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
        Objects.requireNonNull(peers, "fellows"),
        Objects.requireNonNull(timer, "timer"));
  }

  /** Starts to follow the list. */
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

  /** Returns whether the list has been read since the start. */
  boolean hasRead() {
    return hasRead;
  }

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
