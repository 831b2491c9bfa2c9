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
 * Outcomes that are kept so that a caller can ask again and a retry is recognised.
 *
 * <p>Outcomes of non-repeatable requests are kept for {@link #RETENTION_NANOS} whatever happens:
 * while the table has no room for one more, none is started. Other outcomes make room when the
 * table is full, oldest first.
 */
final class OutcomeStore {

  /** How long an outcome is stored. */
  static final long RETENTION_NANOS = Nanos.ofMillis(600_000);

  /** Most outcomes of non-repeatable requests, running ones included. */
  static final int MAX_PINNED = 60_000;

  /** Most outcomes of non-repeatable requests of one workspace. */
  static final int MAX_PINNED_OF_WORKSPACE = 20_000;

  /** Fingerprint of an outcome that holds for any request under its identifier. */
  static final long ANY_FINGERPRINT = 0;

  private static final long MAX_EVICTABLE_CHARS = 4_000_000;
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

  /** Returns whether one more non-repeatable request fits beside those that are running. */
  boolean canPin(WorkspaceId workspace, int running) {
    return pinned.size() + running < MAX_PINNED
        && pinnedByWorkspace.getOrDefault(workspace, 0) < MAX_PINNED_OF_WORKSPACE;
  }

  Optional<StoredOutcome> find(RequestKey key, long now) {
    StoredOutcome found = stored.get(key);
    return found == null || now >= found.expiryNanos() ? Optional.empty() : Optional.of(found);
  }

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

  /** A kept outcome. */
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
