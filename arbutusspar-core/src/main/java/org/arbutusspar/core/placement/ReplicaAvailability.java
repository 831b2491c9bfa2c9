package org.arbutusspar.core.placement;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.Nanos;

/**
 * What replicas have announced in their responses to this instance: that they are shutting down, or
 * that they want no requests for some time. The announcement of a replica does not apply to one
 * that has started later under the same identifier.
 *
 * <p>Load pattern: replicas that reject requests at their limit and ask for a pause while everyone
 * comes at once. Requests that are sent to them all the same take work from those they serve.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class ReplicaAvailability {

  private static final int MAX_REPLICAS = 8_192;

  /** End of the name of an incarnation whose start is not known. */
  private static final String UNKNOWN_START = "@0";

  private final Map<String, Boolean> leaving = BoundedMaps.droppingOldest(MAX_REPLICAS);
  private final Map<String, Long> backoffEnds = BoundedMaps.droppingOldest(MAX_REPLICAS);

  private ReplicaAvailability() {}

  /** Returns an object that knows of no announcement. */
  public static ReplicaAvailability create() {
    return new ReplicaAvailability();
  }

  /**
   * Records that a replica has announced its shutdown.
   *
   * @param replica the replica, not null
   * @return whether this was not known
   */
  public boolean onLeaving(UpstreamReplica replica) {
    return leaving.put(replica.incarnation(), true) == null;
  }

  /**
   * Records what the list of replicas says. A replica that is listed as leaving does not return to
   * service. If the list does not state when a replica started, its announcements end when it is no
   * longer listed, since a later replica may have its identifier.
   *
   * @param listed all listed replicas, not null
   */
  public void onListed(Collection<UpstreamReplica> listed) {
    Set<String> incarnations = new HashSet<>();
    for (UpstreamReplica replica : listed) {
      incarnations.add(replica.incarnation());
      if (replica.leaving() && replica.startedMillis() > 0) {
        onLeaving(replica);
      }
    }
    leaving.keySet().removeIf(name -> name.endsWith(UNKNOWN_START) && !incarnations.contains(name));
  }

  /**
   * Records that a replica wants no requests for some time. An announcement never shortens an
   * earlier one.
   *
   * @param replica the replica, not null
   * @param millis the time in milliseconds
   * @param now current time
   */
  public void onBackoff(UpstreamReplica replica, long millis, long now) {
    backoffEnds.values().removeIf(end -> now - end >= 0);
    long end = now + Nanos.ofMillis(millis);
    backoffEnds.merge(replica.incarnation(), end, (a, b) -> a - b > 0 ? a : b);
  }

  /** Returns whether any replica may want no requests. */
  public boolean hasBackoffs() {
    return !backoffEnds.isEmpty();
  }

  /** Returns whether a replica has announced its shutdown. */
  public boolean isLeaving(UpstreamReplica replica) {
    return leaving.containsKey(replica.incarnation());
  }

  /**
   * Returns whether a replica wants no requests now.
   *
   * @param replica the replica, not null
   * @param now current time
   * @return true until the end of the time that it has stated
   */
  public boolean isBackingOff(UpstreamReplica replica, long now) {
    Long end = backoffEnds.get(replica.incarnation());
    return end != null && now - end < 0;
  }

  /**
   * Returns the time until the first of some replicas may be sent requests again.
   *
   * @param replicas the replicas, not null
   * @param now current time
   * @return the time in nanoseconds, 0 if one of them may be sent requests now; empty if there are
   *     no replicas
   */
  public OptionalLong nanosUntilAvailable(Collection<UpstreamReplica> replicas, long now) {
    return replicas.stream()
        .mapToLong(
            replica ->
                isBackingOff(replica, now) ? backoffEnds.get(replica.incarnation()) - now : 0)
        .min();
  }
}
