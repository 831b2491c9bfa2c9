package org.arbutusspar.core.placement;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.BoundedMaps;

/**
 * The decision in force on each prompt part, as far as one was made. Decisions of any instance may
 * arrive in any order and more than once. Not thread-safe.
 */
public final class PromptPartVerdicts {

  /** Maximum number of parts; beyond it, the part that was added first is dropped. */
  private static final int MAX_PARTS = 512;

  private final Map<String, PromptPartVerdict> verdicts = BoundedMaps.droppingOldest(MAX_PARTS);

  private PromptPartVerdicts() {}

  /** Returns an object without decisions. */
  public static PromptPartVerdicts create() {
    return new PromptPartVerdicts();
  }

  /**
   * Puts a decision in force unless a later one on the part is known.
   *
   * @param verdict the decision, not null
   * @return whether the decision is new
   */
  public boolean put(PromptPartVerdict verdict) {
    PromptPartVerdict known = verdicts.get(verdict.part());
    if (known != null && known.decidedMillis() >= verdict.decidedMillis()) {
      return false;
    }
    verdicts.put(verdict.part(), verdict);
    return true;
  }

  /**
   * Returns the decision that blocks a prompt.
   *
   * @param parts identifiers of the prompt's parts, not null
   * @param nowMillis current time in Unix milliseconds
   * @return the decision on the first blocked part, or empty if none is blocked
   */
  public Optional<PromptPartVerdict> findBlocked(Collection<String> parts, long nowMillis) {
    if (verdicts.isEmpty()) {
      return Optional.empty();
    }
    return parts.stream()
        .map(verdicts::get)
        .filter(verdict -> verdict != null && verdict.isBlocked(nowMillis))
        .findFirst();
  }

  /** Returns the time of the known decision on a part in Unix milliseconds, 0 if none is known. */
  public long decidedMillis(String part) {
    PromptPartVerdict known = verdicts.get(part);
    return known == null ? 0 : known.decidedMillis();
  }

  /** Returns the number of parts that are blocked at a time in Unix milliseconds. */
  public int blockedCount(long nowMillis) {
    return (int) verdicts.values().stream().filter(v -> v.isBlocked(nowMillis)).count();
  }
}
