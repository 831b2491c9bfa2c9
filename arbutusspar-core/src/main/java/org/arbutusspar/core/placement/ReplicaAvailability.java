package org.arbutusspar.core.placement;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
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

  private final Map<String, Boolean> leaving = bounded();
  private final Map<String, Long> backoffEnds = bounded();

  private ReplicaAvailability() {}

  /** Returns an object that knows of no announcement. */
  public static ReplicaAvailability create() {
    return new ReplicaAvailability();
  }

  private static <T> Map<String, T> bounded() {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
        return size() > MAX_REPLICAS;
      }
    };
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
   * Records that a replica wants no requests for some time. An announcement never shortens an
   * earlier one.
   *
   * @param replica the replica, not null
   * @param millis the time in milliseconds
   * @param now current time
   */
  public void onBackoff(UpstreamReplica replica, long millis, long now) {
    long end = now + Nanos.ofMillis(millis);
    backoffEnds.merge(replica.incarnation(), end, (a, b) -> a - b > 0 ? a : b);
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
