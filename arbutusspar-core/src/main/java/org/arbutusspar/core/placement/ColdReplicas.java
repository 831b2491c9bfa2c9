package org.arbutusspar.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.routing.WarmUp;

/**
 * Which replicas are cold, by what the list says and by what this instance has seen.
 *
 * <p>Load pattern: a replica that has just started, or a whole data centre that has come back, is
 * empty, so that every chooser prefers it; and it says only seconds later that it is cold. A
 * replica is therefore also assumed to be cold for the warm-up of its service from the moment on at
 * which it is first listed during operation or its data centre returns from an evacuation. A list
 * that says that it is warm does not end this, since it may be older than the restart. All replicas
 * of the first list are believed, so that a start of the whole deployment delays nothing.
 *
 * <p>Replicas of services without a warm-up are never cold. Times are monotonic, in nanoseconds.
 * Not thread-safe.
 */
public final class ColdReplicas {

  private static final int MAX_REPLICAS = 8_192;

  /** Time by which an entry of the list is usually older than its receipt, in milliseconds. */
  private static final long LIST_DELAY_MILLIS = 1_000;

  /** End of the name of an incarnation whose start is not known. */
  private static final String UNKNOWN_START = "@0";

  private Map<String, WarmUp> warmUps = Map.of();
  private boolean firstListRead;

  /** Names of the incarnations that have been listed. */
  private final Map<String, Boolean> known = BoundedMaps.droppingOldest(MAX_REPLICAS);

  /** What the list says of cold replicas, by incarnation. */
  private final Map<String, Statement> statements = new HashMap<>();

  /** Since when replicas are assumed to be cold, by incarnation. */
  private final Map<String, Long> assumedSince = BoundedMaps.droppingOldest(MAX_REPLICAS);

  /** Cold replicas as of the last change, by incarnation. */
  private Map<String, UpstreamReplica> cold = Map.of();

  private Collection<UpstreamReplica> listed = List.of();

  private ColdReplicas() {}

  /** Returns an object without replicas. */
  public static ColdReplicas create() {
    return new ColdReplicas();
  }

  /**
   * Replaces the warm-ups of the services.
   *
   * @param newWarmUps warm-ups by the name of the service, not null
   * @param now current time
   * @return what has changed
   */
  public Change warmUps(Map<String, WarmUp> newWarmUps, long now) {
    warmUps = Map.copyOf(newWarmUps);
    return update(now);
  }

  /**
   * Records what the list says.
   *
   * @param newListed all listed replicas, not null
   * @param now current time
   * @return what has changed
   */
  public Change onListed(Collection<UpstreamReplica> newListed, long now) {
    listed = List.copyOf(newListed);
    Set<String> names = new HashSet<>();
    for (UpstreamReplica replica : listed) {
      String name = replica.incarnation();
      names.add(name);
      boolean isNew = known.remove(name) == null;
      known.put(name, true);
      if (isNew && firstListRead) {
        assumedSince.put(name, now);
      }
      recordStatement(replica, now);
    }
    statements.keySet().retainAll(names);
    known.keySet().removeIf(name -> name.endsWith(UNKNOWN_START) && !names.contains(name));
    firstListRead |= !listed.isEmpty();
    return update(now);
  }

  /**
   * Records how long a replica stays cold. The list passes on some statements only, and later than
   * they are made. A longer time than its last statement leaves, beyond that delay, means that the
   * replica has become cold again; any other repeats the statement and does not extend it.
   */
  private void recordStatement(UpstreamReplica replica, long now) {
    String name = replica.incarnation();
    if (!replica.isListedCold()) {
      statements.remove(name);
      return;
    }
    long millis = replica.warmUpMillis();
    Statement last = statements.get(name);
    if (last != null && millis == last.millis) {
      return;
    }
    long end = now + Nanos.ofMillis(millis);
    boolean repeats = last != null && millis <= last.remainingMillis(now) + LIST_DELAY_MILLIS;
    statements.put(name, new Statement(millis, repeats && end - last.end > 0 ? last.end : end));
  }

  /**
   * Assumes that replicas are cold from now on, for the warm-up of their services.
   *
   * @param replicas the replicas, not null
   * @param now current time
   * @return what has changed
   */
  public Change assumeCold(Collection<UpstreamReplica> replicas, long now) {
    replicas.stream()
        .filter(replica -> warmUps.containsKey(replica.service()))
        .forEach(replica -> assumedSince.put(replica.incarnation(), now));
    return update(now);
  }

  /**
   * Determines anew which replicas are cold.
   *
   * @param now current time
   * @return what has changed since the last change
   */
  public Change update(long now) {
    Map<String, UpstreamReplica> current = new LinkedHashMap<>();
    for (UpstreamReplica replica : listed) {
      Optional<WarmUp> warmUp = warmUp(replica);
      if (warmUp.isPresent() && isColdNow(replica.incarnation(), warmUp.get(), now)) {
        current.put(replica.incarnation(), replica);
      }
    }
    Map<String, UpstreamReplica> previous = cold;
    cold = current;
    List<UpstreamReplica> nowCold = new ArrayList<>(current.values());
    nowCold.removeIf(replica -> previous.containsKey(replica.incarnation()));
    List<UpstreamReplica> nowWarm = new ArrayList<>(previous.values());
    nowWarm.removeIf(replica -> current.containsKey(replica.incarnation()));
    return new Change(nowCold, nowWarm);
  }

  private boolean isColdNow(String name, WarmUp warmUp, long now) {
    Long since = assumedSince.get(name);
    if (since != null && now - since >= Nanos.ofMillis(warmUp.millis())) {
      assumedSince.remove(name);
      since = null;
    }
    Statement statement = statements.get(name);
    return since != null || statement != null && now - statement.end < 0;
  }

  /** Returns the warm-up of the service of a replica, or empty if it has none. */
  public Optional<WarmUp> warmUp(UpstreamReplica replica) {
    return Optional.ofNullable(warmUps.get(replica.service()));
  }

  /** Returns whether a replica was cold as of the last change. */
  public boolean isCold(UpstreamReplica replica) {
    return cold.containsKey(replica.incarnation());
  }

  /** Returns the number of replicas that were cold as of the last change. */
  public int count() {
    return cold.size();
  }

  /** End of the cold time of a replica as stated by its entry. */
  private record Statement(long millis, long end) {
    private double remainingMillis(long now) {
      return Math.max(0, Nanos.toMillis(end - now));
    }
  }

  /**
   * Difference between two points in time.
   *
   * @param cold replicas that have become cold
   * @param warm replicas that have become warm, or are no longer listed
   */
  public record Change(List<UpstreamReplica> cold, List<UpstreamReplica> warm) {

    /** Copies the lists. */
    public Change {
      cold = List.copyOf(cold);
      warm = List.copyOf(warm);
    }

    /** Returns whether nothing has changed. */
    public boolean isEmpty() {
      return cold.isEmpty() && warm.isEmpty();
    }
  }
}
