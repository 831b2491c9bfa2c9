package org.arbutusspar.core.stage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.lang3.Validate;

/**
 * Releases of results that this instance has recently sent to other instances. The batcher of a
 * result receives its release and frees the memory at the replica.
 *
 * <p>Failure: a batcher loses power. Until its heartbeat times out, about a second later, its peers
 * still send releases to it. These are lost, and the results would use memory of the replicas until
 * they expire. So each peer keeps its recent releases and carries them out itself when it detects
 * the loss.
 */
public final class RecentReleases {

  private final long retentionNanos;
  private final Map<String, Deque<SentRelease>> byInstance = new HashMap<>();

  private RecentReleases(long retentionNanos) {
    this.retentionNanos = retentionNanos;
  }

  /**
   * Returns an empty record of releases.
   *
   * @param retentionNanos how long a release is kept, in nanoseconds, over 0
   * @return the record
   */
  public static RecentReleases create(long retentionNanos) {
    Validate.isTrue(retentionNanos > 0, "retentionNanos must be positive");
    return new RecentReleases(retentionNanos);
  }

  /**
   * Records a release that has been sent to an instance.
   *
   * @param instance name of the instance, not null
   * @param handles handles of the results to release, not null
   * @param now current monotonic time, in nanoseconds
   */
  public void record(String instance, Collection<String> handles, long now) {
    Deque<SentRelease> sent = byInstance.computeIfAbsent(instance, name -> new ArrayDeque<>());
    removeExpired(sent, now);
    sent.add(new SentRelease(now, List.copyOf(handles)));
  }

  /**
   * Removes and returns the recent releases that were sent to a lost instance.
   *
   * @param instance name of the lost instance, not null
   * @param now current monotonic time, in nanoseconds
   * @return handles of results that the instance may not have released
   */
  public List<String> takeUnconfirmed(String instance, long now) {
    Deque<SentRelease> sent = byInstance.remove(instance);
    if (sent == null) {
      return List.of();
    }
    removeExpired(sent, now);
    List<String> handles = new ArrayList<>();
    sent.forEach(release -> handles.addAll(release.handles()));
    return handles;
  }

  private void removeExpired(Deque<SentRelease> sent, long now) {
    while (!sent.isEmpty() && now - sent.getFirst().sentAt() > retentionNanos) {
      sent.removeFirst();
    }
  }

  private record SentRelease(long sentAt, List<String> handles) {}
}
