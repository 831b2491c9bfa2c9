package org.arbutusspar.core.request;

import java.util.List;
import java.util.Objects;

/** Final word about a request. */
public sealed interface Outcome {

  /** Returns what each stage that ran has cost, in stage order. */
  List<StageCost> costs();

  /**
   * The whole answer.
   *
   * @param answer generated text, or JSON body of a plain service
   * @param documents identifiers of the documents that the answer rests on
   * @param costs cost of each stage
   */
  record Answered(String answer, List<String> documents, List<StageCost> costs) implements Outcome {

    /** Checks the components and copies the lists. */
    public Answered {
      Objects.requireNonNull(answer, "answer");
      documents = List.copyOf(documents);
      costs = List.copyOf(costs);
    }
  }

  /**
   * The request has no answer.
   *
   * @param verdict what is known about whether it ran
   * @param reason why there is no answer
   * @param origin the step and the peer at which it failed
   * @param comeBackMillis when to come back; negative if coming back does not help
   * @param costs cost of each stage that ran
   */
  record Refused(
      Verdict verdict, Reason reason, Origin origin, long comeBackMillis, List<StageCost> costs)
      implements Outcome {

    /** Value of {@code comeBackMillis} when coming back does not help. */
    public static final long NEVER = -1;

    /** Checks the components and copies the list. */
    public Refused {
      Objects.requireNonNull(verdict, "verdict");
      Objects.requireNonNull(reason, "reason");
      Objects.requireNonNull(origin, "origin");
      costs = List.copyOf(costs);
    }
  }

  /** What is known about whether a request without an answer ran. */
  enum Verdict {
    /** No byte of the request was handed to an upstream. */
    NOT_RUN,
    /** It ran in whole or in part, and gave no answer. */
    FAILED,
    /** It may have run. */
    UNKNOWN
  }

  /**
   * Where a failure arose.
   *
   * @param step the step, such as {@code admission} or the name of a service
   * @param peer the peer, such as a replica or an instance; {@code -} if none
   */
  record Origin(String step, String peer) {

    /** Stands for no peer. */
    public static final String NO_PEER = "-";

    /** Checks the components. */
    public Origin {
      Objects.requireNonNull(step, "step");
      Objects.requireNonNull(peer, "peer");
    }

    /**
     * Returns an origin inside the instance.
     *
     * @param step the step, not null
     * @return the origin
     */
    public static Origin local(String step) {
      return new Origin(step, NO_PEER);
    }
  }

  /**
   * What one stage has cost, over all its attempts.
   *
   * @param service name of the service
   * @param millis time that attempts took at replicas
   * @param price that time at the service's price
   */
  record StageCost(String service, double millis, double price) {}
}
