package org.arbutusspar.entry.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.arbutusspar.core.placement.CrashingPartDetector;
import org.arbutusspar.core.placement.PromptPartVerdict;
import org.arbutusspar.core.placement.PromptPartVerdicts;
import org.arbutusspar.io.EventLog;

/**
 * Blocks requests with a prompt part that crashes model engines. The instance that finds such a
 * part publishes its decision, which every instance learns from its peers or from the store.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class PromptPartGuard {

  /** Length of a block in milliseconds. */
  private static final long BLOCK_MILLIS = 600_000;

  /** Remaining length in milliseconds below which a block is renewed after another crash. */
  private static final long RENEWAL_MILLIS = BLOCK_MILLIS / 2;

  private final LongSupplier unixMillis;
  private final EventLog log;
  private final Consumer<PromptPartVerdict> publisher;
  private final PromptPartVerdicts verdicts = PromptPartVerdicts.create();

  private PromptPartGuard(
      LongSupplier unixMillis, EventLog log, Consumer<PromptPartVerdict> publisher) {
    this.unixMillis = unixMillis;
    this.log = log;
    this.publisher = publisher;
  }

  /**
   * Returns a guard that blocks nothing.
   *
   * @param unixMillis returns the current time in Unix milliseconds, not null
   * @param log receives each change of a decision, not null
   * @param publisher passes each decision of this instance on to all others, not null
   * @return the guard
   */
  static PromptPartGuard create(
      LongSupplier unixMillis, EventLog log, Consumer<PromptPartVerdict> publisher) {
    return new PromptPartGuard(unixMillis, log, publisher);
  }

  /**
   * Returns the decision that blocks a prompt, or empty if none of its parts is blocked.
   *
   * @param parts identifiers of the shared parts of the prompt, not null
   * @return the decision
   */
  Optional<PromptPartVerdict> findBlocked(Collection<String> parts) {
    return verdicts.findBlocked(parts, unixMillis.getAsLong());
  }

  /** Returns the time in milliseconds until a block ends. */
  long remainingMillis(PromptPartVerdict verdict) {
    return verdict.blockedUntilMillis() - unixMillis.getAsLong();
  }

  /** Returns the number of blocked parts. */
  int blockedCount() {
    return verdicts.blockedCount(unixMillis.getAsLong());
  }

  /**
   * Blocks parts that were found to be crashing, and permits those that were found not to be.
   *
   * @param findings what was found, not null
   * @param detector the detector that found it, not null
   */
  void onFindings(CrashingPartDetector.Findings findings, CrashingPartDetector detector) {
    for (String part : findings.crashing()) {
      boolean blocked =
          findBlocked(List.of(part)).filter(v -> remainingMillis(v) > RENEWAL_MILLIS).isPresent();
      if (!blocked) {
        long now = decisionMillis(part);
        log.write("part-crashing", "part", part, "replicas", detector.crashedReplicas(part));
        decide(PromptPartVerdict.blocked(part, now, BLOCK_MILLIS));
      }
    }
    for (String part : findings.cleared()) {
      decide(PromptPartVerdict.permitted(part, decisionMillis(part)));
    }
  }

  /** Returns the current time, or a later one if needed to supersede the known decision. */
  private long decisionMillis(String part) {
    return Math.max(unixMillis.getAsLong(), verdicts.decidedMillis(part) + 1);
  }

  private void decide(PromptPartVerdict verdict) {
    learn(verdict, "self");
    publisher.accept(verdict);
  }

  /**
   * Puts a decision in force unless a later one on the part is known.
   *
   * @param verdict the decision, not null
   * @param source name of the instance or table that it comes from, not null
   */
  void learn(PromptPartVerdict verdict, String source) {
    if (verdicts.put(verdict)) {
      boolean blocked = verdict.isBlocked(unixMillis.getAsLong());
      log.write(
          blocked ? "part-blocked" : "part-permitted",
          "part",
          verdict.part(),
          "source",
          source,
          "remaining_ms",
          blocked ? remainingMillis(verdict) : 0);
    }
  }
}
