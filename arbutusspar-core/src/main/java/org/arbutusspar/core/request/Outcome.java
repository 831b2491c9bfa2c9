package org.arbutusspar.core.request;

import java.util.List;
import java.util.Objects;

/** Final result of a request: either answered or refused. */
public sealed interface Outcome {

  /** Returns the cost of each stage that ran, in stage order. */
  List<StageCost> costs();

  /**
   * The request succeeded and has a complete answer.
   *
   * @param answer generated text, or the JSON body that a plain service returned
   * @param documents identifiers of the documents from which the answer was generated
   * @param costs cost of each stage, in stage order
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
   * The request was rejected or failed, and has no answer.
   *
   * @param verdict whether the request ran, as far as is known
   * @param reason why there is no answer
   * @param origin step and peer at which it was rejected or failed
   * @param comeBackMillis time after which the caller may send the request again, in milliseconds;
   *     {@link #NEVER} if sending it again does not help
   * @param costs cost of each stage that ran, in stage order
   */
  record Refused(
      Verdict verdict, Reason reason, Origin origin, long comeBackMillis, List<StageCost> costs)
      implements Outcome {

    /** Value of {@code comeBackMillis} if sending the request again does not help. */
    public static final long NEVER = -1;

    /** Checks the components and copies the list. */
    public Refused {
      Objects.requireNonNull(verdict, "verdict");
      Objects.requireNonNull(reason, "reason");
      Objects.requireNonNull(origin, "origin");
      costs = List.copyOf(costs);
    }
  }

  /** Whether a request without an answer ran, as far as is known. */
  enum Verdict {
    /** The request did not run: no byte of it was sent to an upstream. */
    NOT_RUN,
    /** The request ran in whole or in part, and gave no answer. */
    FAILED,
    /** The request may have run. */
    UNKNOWN
  }

  /**
   * Processing step and other process at which a request was rejected or failed.
   *
   * @param step processing step, such as {@code admission}, or the name of a service
   * @param peer other process that was involved, such as a replica or an instance; {@link #NO_PEER}
   *     if there was none
   */
  record Origin(String step, String peer) {

    /** Value of {@code peer} if no other process was involved. */
    public static final String NO_PEER = "-";

    /** Checks the components. */
    public Origin {
      Objects.requireNonNull(step, "step");
      Objects.requireNonNull(peer, "peer");
    }

    /**
     * Returns an origin without a peer, for a failure inside this instance.
     *
     * @param step processing step, not null
     * @return the origin
     */
    public static Origin local(String step) {
      return new Origin(step, NO_PEER);
    }
  }

  /**
   * Cost of one stage, summed over all its attempts.
   *
   * @param service name of the service that ran the stage
   * @param millis total duration of the attempts at replicas, in milliseconds
   * @param price price of this duration at the service's price per second
   */
  record StageCost(String service, double millis, double price) {}
}
