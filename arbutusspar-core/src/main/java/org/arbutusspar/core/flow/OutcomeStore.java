package org.arbutusspar.core.flow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.id.WorkspaceId;
import org.arbutusspar.core.request.Outcome;

/**
 * Stores outcomes of ended requests, so that callers can ask for them again and a client retry does
 * not run a request a second time.
 *
 * <p>Outcomes of non-repeatable requests are pinned: they stay for {@link #RETENTION_NANOS}. While
 * the store has no capacity for another one, no non-repeatable request starts. Other outcomes are
 * evicted, oldest first, when they exceed their limit.
 */
final class OutcomeStore {

  /** Time for which an outcome is stored. */
  static final long RETENTION_NANOS = Nanos.ofMillis(600_000);

  /** Maximum number of pinned outcomes plus active non-repeatable requests. */
  static final int MAX_PINNED = 60_000;

  /** Maximum number of pinned outcomes of one workspace. */
  static final int MAX_PINNED_OF_WORKSPACE = 20_000;

  /** Fingerprint of an outcome that matches every request with its identifier. */
  static final long ANY_FINGERPRINT = 0;

  /** Maximum total size of evictable outcomes, in characters. */
  private static final long MAX_EVICTABLE_CHARS = 4_000_000;

  /** Size that is counted for an outcome in addition to its answer, in characters. */
  private static final int ENTRY_OVERHEAD_CHARS = 300;

  private final Map<RequestKey, StoredOutcome> stored = new HashMap<>();
  private final Deque<RequestKey> evictable = new ArrayDeque<>();
  private final Deque<RequestKey> pinned = new ArrayDeque<>();
  private final Map<WorkspaceId, Integer> pinnedByWorkspace = new HashMap<>();
  private long evictableChars;

  private OutcomeStore() {}

  static OutcomeStore create() {
    return new OutcomeStore();
  }

  /**
   * Returns whether there is capacity for the outcome of another non-repeatable request.
   *
   * @param workspace workspace of the request
   * @param active number of active non-repeatable requests, whose outcomes will be pinned
   */
  boolean canPin(WorkspaceId workspace, int active) {
    return pinned.size() + active < MAX_PINNED
        && pinnedByWorkspace.getOrDefault(workspace, 0) < MAX_PINNED_OF_WORKSPACE;
  }

  /** Returns the stored outcome of a request, or empty if there is none or it has expired. */
  Optional<StoredOutcome> find(RequestKey key, long now) {
    StoredOutcome found = stored.get(key);
    return found == null || now >= found.expiryNanos() ? Optional.empty() : Optional.of(found);
  }

  /**
   * Stores an outcome and removes expired ones.
   *
   * @param key key of the request
   * @param fingerprint fingerprint of the request, or {@link #ANY_FINGERPRINT}
   * @param outcome outcome of the request
   * @param pin whether the outcome stays until it expires; true for non-repeatable requests
   * @param now monotonic time in nanoseconds
   */
  void put(RequestKey key, long fingerprint, Outcome outcome, boolean pin, long now) {
    expire(now);
    StoredOutcome entry = new StoredOutcome(outcome, fingerprint, now + RETENTION_NANOS, pin);
    StoredOutcome previous = stored.put(key, entry);
    if (previous != null) {
      return;
    }
    if (pin) {
      pinned.addLast(key);
      pinnedByWorkspace.merge(key.workspace(), 1, Integer::sum);
    } else {
      evictable.addLast(key);
      evictableChars += entry.chars();
      evictToLimit();
    }
  }

  int size() {
    return stored.size();
  }

  private void evictToLimit() {
    while (evictableChars > MAX_EVICTABLE_CHARS && !evictable.isEmpty()) {
      removeOldestEvictable();
    }
  }

  private void removeOldestEvictable() {
    StoredOutcome removed = stored.remove(evictable.removeFirst());
    evictableChars -= removed == null ? 0 : removed.chars();
  }

  private void expire(long now) {
    while (!pinned.isEmpty() && now >= stored.get(pinned.getFirst()).expiryNanos()) {
      RequestKey expired = pinned.removeFirst();
      stored.remove(expired);
      pinnedByWorkspace.computeIfPresent(expired.workspace(), (w, n) -> n == 1 ? null : n - 1);
    }
    while (!evictable.isEmpty() && now >= stored.get(evictable.getFirst()).expiryNanos()) {
      removeOldestEvictable();
    }
  }

  /**
   * A stored outcome.
   *
   * @param outcome the outcome
   * @param fingerprint fingerprint of the request, or {@link #ANY_FINGERPRINT}
   * @param expiryNanos monotonic time at which it expires, in nanoseconds
   * @param pinned whether it cannot be evicted before
   */
  record StoredOutcome(Outcome outcome, long fingerprint, long expiryNanos, boolean pinned) {

    boolean matches(long requestFingerprint) {
      return fingerprint == ANY_FINGERPRINT || fingerprint == requestFingerprint;
    }

    private int chars() {
      return outcome instanceof Outcome.Answered answered
          ? ENTRY_OVERHEAD_CHARS + answered.answer().length()
          : ENTRY_OVERHEAD_CHARS;
    }
  }
}
