package org.arbutusspar.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.BoundedMaps;

/**
 * The decision in force on each subject, as far as one was made. Decisions of any instance may
 * arrive in any order and more than once. Not thread-safe.
 */
public final class BlockDecisions {

  /** Maximum number of subjects; beyond it, the one that was added first is dropped. */
  private static final int MAX_SUBJECTS = 512;

  private final Map<String, BlockDecision> decisions = BoundedMaps.droppingOldest(MAX_SUBJECTS);

  private BlockDecisions() {}

  /** Returns an object without decisions. */
  public static BlockDecisions create() {
    return new BlockDecisions();
  }

  /**
   * Puts a decision in force unless a later one on the subject is known.
   *
   * @param decision the decision, not null
   * @return whether the decision is new
   */
  public boolean put(BlockDecision decision) {
    BlockDecision known = decisions.get(decision.subject());
    if (known != null && known.decidedMillis() >= decision.decidedMillis()) {
      return false;
    }
    decisions.put(decision.subject(), decision);
    return true;
  }

  /**
   * Returns the decision that blocks a request.
   *
   * @param subjects subjects of the request, not null
   * @param nowMillis current time in Unix milliseconds
   * @return the decision on the first blocked subject, or empty if none is blocked
   */
  public Optional<BlockDecision> findBlocked(Collection<String> subjects, long nowMillis) {
    if (decisions.isEmpty()) {
      return Optional.empty();
    }
    return subjects.stream()
        .map(decisions::get)
        .filter(decision -> decision != null && decision.isBlocked(nowMillis))
        .findFirst();
  }

  /**
   * Returns the time of the known decision on a subject in Unix milliseconds, 0 if there is none.
   */
  public long decidedMillis(String subject) {
    BlockDecision known = decisions.get(subject);
    return known == null ? 0 : known.decidedMillis();
  }

  /**
   * Returns the subjects that are blocked.
   *
   * @param nowMillis current time in Unix milliseconds
   * @return the subjects
   */
  public List<String> blockedSubjects(long nowMillis) {
    return decisions.values().stream()
        .filter(decision -> decision.isBlocked(nowMillis))
        .map(BlockDecision::subject)
        .toList();
  }
}
