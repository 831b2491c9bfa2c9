package org.arbutusspar.core.peer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Rendezvous;

/**
 * Decides how a table obtains the changes that peers have and it lacks: from which peer it requests
 * them, and when it reads the store itself.
 *
 * <p>Load pattern: a change of a large table makes all instances request it from few peers at once.
 * A peer on a slow machine or link then announces the change, but takes longer to send it than the
 * change may take, or never sends it. The requests go to each of the peers in turn, and after
 * {@link #PEERS_ONLY_NANOS} the store is read as well, so that the time until a change is in force
 * does not depend on any single peer.
 *
 * <p>Not thread-safe.
 */
public final class CatchUp {

  /** Time for which only peers are asked for missing changes, in nanoseconds. */
  static final long PEERS_ONLY_NANOS = Nanos.ofMillis(500);

  private final String self;

  /** Number of requests to each peer since the table lacks changes. */
  private final Map<String, Integer> requestsByPeer = new HashMap<>();

  private boolean behind;

  /** Time since which the table lacks changes, if it does. */
  private long behindSince;

  private CatchUp(String self) {
    this.self = self;
  }

  /**
   * Returns the state of a table that lacks nothing.
   *
   * @param self name of this instance, by which the requests of different instances are spread over
   *     the peers, not null
   * @return the state
   */
  public static CatchUp create(String self) {
    return new CatchUp(self);
  }

  /**
   * Records that a peer has changes that the table lacks.
   *
   * @param now current monotonic time, in nanoseconds
   */
  public void onBehind(long now) {
    if (!behind) {
      behind = true;
      behindSince = now;
    }
  }

  /** Records that no peer has changes that the table lacks. */
  public void onCaughtUp() {
    behind = false;
    requestsByPeer.clear();
  }

  /** Returns whether the table lacks changes that a peer has. */
  public boolean isBehind() {
    return behind;
  }

  /**
   * Selects the peer to be asked next, and counts the request.
   *
   * @param sources names of the peers that have the changes, not null
   * @return the peer that was asked least often, or empty if there is none
   */
  public Optional<String> nextSource(List<String> sources) {
    Optional<String> source =
        sources.stream()
            .min(
                Comparator.comparing((String name) -> requestsByPeer.getOrDefault(name, 0))
                    .thenComparing(name -> Rendezvous.hash(self + "/" + name)));
    source.ifPresent(name -> requestsByPeer.merge(name, 1, Integer::sum));
    return source;
  }

  /**
   * Returns whether the store is to be read as well.
   *
   * @param now current monotonic time, in nanoseconds
   * @return true if the table has lacked changes for {@link #PEERS_ONLY_NANOS} or more
   */
  public boolean needsStore(long now) {
    return behindNanos(now) >= PEERS_ONLY_NANOS;
  }

  /** Returns the number of requests to peers since the table lacks changes. */
  public int requests() {
    return requestsByPeer.values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Returns for how long the table has lacked changes.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the time in nanoseconds, 0 if it lacks none
   */
  public long behindNanos(long now) {
    return behind ? now - behindSince : 0;
  }
}
