package org.arbutusspar.entry.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.placement.BlockDecision;
import org.arbutusspar.core.placement.BlockDecisions;
import org.arbutusspar.core.placement.RequestIdentity;
import org.arbutusspar.io.EventLog;

/**
 * Blocks requests with content that crashes replicas. The instance that finds such content
 * publishes its decision, which every instance learns from its peers or from the store.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class BlockList {

  /** Length of a block in milliseconds. */
  private static final long BLOCK_MILLIS = 600_000;

  /** Remaining length in milliseconds below which a block is renewed after another crash. */
  private static final long RENEWAL_MILLIS = BLOCK_MILLIS / 2;

  private static final int MAX_HEADS = 1_024;

  private final LongSupplier unixMillis;
  private final EventLog log;
  private final Consumer<BlockDecision> publisher;
  private final BlockDecisions decisions = BlockDecisions.create();

  /** Heads of the identities of requests on which there was a decision. */
  private final Map<String, Boolean> heads = BoundedMaps.droppingOldest(MAX_HEADS);

  private BlockList(LongSupplier unixMillis, EventLog log, Consumer<BlockDecision> publisher) {
    this.unixMillis = unixMillis;
    this.log = log;
    this.publisher = publisher;
  }

  /**
   * Returns a list that blocks nothing.
   *
   * @param unixMillis returns the current time in Unix milliseconds, not null
   * @param log receives each change of a decision, not null
   * @param publisher passes each decision of this instance on to all others, not null
   * @return the list
   */
  static BlockList create(
      LongSupplier unixMillis, EventLog log, Consumer<BlockDecision> publisher) {
    return new BlockList(unixMillis, log, publisher);
  }

  /**
   * Returns the decision that blocks a request, or empty if none of its subjects is blocked.
   *
   * @param subjects subjects of the request, not null
   * @return the decision
   */
  Optional<BlockDecision> findBlocked(Collection<String> subjects) {
    return decisions.findBlocked(subjects, unixMillis.getAsLong());
  }

  /**
   * Returns whether there may be a decision on a request, so that its body has to be read.
   *
   * @param head head of the identity of the request, not null
   * @return false if there is none
   */
  boolean mayBlock(String head) {
    return heads.containsKey(head);
  }

  /** Returns the time in milliseconds until a block ends. */
  long remainingMillis(BlockDecision decision) {
    return decision.blockedUntilMillis() - unixMillis.getAsLong();
  }

  /** Returns the number of blocked prompt parts. */
  int blockedParts() {
    return decisions.blockedSubjects(unixMillis.getAsLong()).size() - blockedRequests();
  }

  /** Returns the number of blocked requests. */
  int blockedRequests() {
    return (int)
        decisions.blockedSubjects(unixMillis.getAsLong()).stream()
            .filter(subject -> subject.startsWith(RequestIdentity.SUBJECT_PREFIX))
            .count();
  }

  /**
   * Blocks a subject that was found to crash replicas, unless it is blocked for long.
   *
   * @param subject the subject, not null
   * @param crashedReplicas the replicas that it crashed, for the log, not null
   */
  void block(String subject, List<String> crashedReplicas) {
    boolean blocked =
        findBlocked(List.of(subject)).filter(d -> remainingMillis(d) > RENEWAL_MILLIS).isPresent();
    if (!blocked) {
      long now = decisionMillis(subject);
      log.write(kind(subject) + "-crashing", kind(subject), subject, "replicas", crashedReplicas);
      decide(BlockDecision.blocked(subject, now, BLOCK_MILLIS));
    }
  }

  /**
   * Blocks a subject at this instance, as another one does that publishes its decision. Any
   * published decision supersedes this one.
   *
   * @param subject the subject, not null
   */
  void blockHere(String subject) {
    if (findBlocked(List.of(subject)).isEmpty()) {
      long until = unixMillis.getAsLong() + BLOCK_MILLIS;
      learn(new BlockDecision(subject, decisions.decidedMillis(subject) + 1, until), "evidence");
    }
  }

  /**
   * Permits a subject that was found not to crash replicas after all.
   *
   * @param subject the subject, not null
   */
  void permit(String subject) {
    decide(BlockDecision.permitted(subject, decisionMillis(subject)));
  }

  /** Returns the current time, or a later one if needed to supersede the known decision. */
  private long decisionMillis(String subject) {
    return Math.max(unixMillis.getAsLong(), decisions.decidedMillis(subject) + 1);
  }

  private void decide(BlockDecision decision) {
    learn(decision, "self");
    publisher.accept(decision);
  }

  /**
   * Puts a decision in force unless a later one on the subject is known.
   *
   * @param decision the decision, not null
   * @param source name of the instance or table that it comes from, not null
   */
  void learn(BlockDecision decision, String source) {
    if (decisions.put(decision)) {
      heads.put(RequestIdentity.headOf(decision.subject()), true);
      boolean blocked = decision.isBlocked(unixMillis.getAsLong());
      String kind = kind(decision.subject());
      log.write(
          kind + (blocked ? "-blocked" : "-permitted"),
          kind,
          decision.subject(),
          "source",
          source,
          "remaining_ms",
          blocked ? remainingMillis(decision) : 0);
    }
  }

  private static String kind(String subject) {
    return subject.startsWith(RequestIdentity.SUBJECT_PREFIX) ? "request" : "part";
  }
}
