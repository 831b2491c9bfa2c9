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
 * The releases of results that were left to other instances lately.
 *
 * <p>Load pattern: the instance that gathers loses power. For about a second its fellows go on
 * telling it which results to release; all of that is lost, and the memory of the replicas stays
 * full until the results expire. Its fellows release them once they know.
 */
public final class RecentReleases {

  private final long retentionNanos;
  private final Map<String, Deque<SentRelease>> byInstance = new HashMap<>();

  private RecentReleases(long retentionNanos) {
    this.retentionNanos = retentionNanos;
  }

  /**
   * Returns an empty memory.
   *
   * @param retentionNanos how long a release is remembered, over 0
   * @return the memory
   */
  public static RecentReleases create(long retentionNanos) {
    Validate.isTrue(retentionNanos > 0, "memoryNanos must be positive");
    return new RecentReleases(retentionNanos);
  }

  /**
   * Notes what an instance has been told to release.
   *
   * @param instance name of the instance, not null
   * @param handles handles of the results, not null
   * @param now current time
   */
  public void record(String instance, Collection<String> handles, long now) {
    Deque<SentRelease> sent = byInstance.computeIfAbsent(instance, name -> new ArrayDeque<>());
    removeExpired(sent, now);
    sent.add(new SentRelease(now, List.copyOf(handles)));
  }

  /**
   * Takes the loss of an instance.
   *
   * @param instance its name, not null
   * @param now current time
   * @return the handles that it may not have released
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
