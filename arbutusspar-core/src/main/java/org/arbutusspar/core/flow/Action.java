package org.arbutusspar.core.flow;

import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.id.AttemptId;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.core.request.RequestData;

/** What an entry instance does, as decided by its {@link Coordinator}. */
public sealed interface Action {

  /**
   * Send an attempt to a replica.
   *
   * @param attempt the attempt
   * @param service the service
   * @param stage the stage
   * @param replica the replica
   * @param data what the request carries
   * @param remainingMillis time left until the deadline
   * @param streaming whether parts of the answer are wanted as they come
   * @param freshConnection whether the call must not reuse a connection
   * @param affinity hash of the prompt's beginning for an engine's cache; 0 for none
   */
  record Send(
      AttemptId attempt,
      Service service,
      Stage stage,
      ListedReplica replica,
      RequestData data,
      long remainingMillis,
      boolean streaming,
      boolean freshConnection,
      long affinity)
      implements Action {}

  /**
   * Give up an attempt whose answer is no longer wanted.
   *
   * @param attempt the attempt
   */
  record Cancel(AttemptId attempt) implements Action {}

  /**
   * Give a caller its final answer.
   *
   * @param caller the caller
   * @param key identity of its request
   * @param outcome the outcome
   */
  record Reply(CallerId caller, RequestKey key, Outcome outcome) implements Action {}

  /**
   * Give a streaming caller a part of its answer.
   *
   * @param caller the caller
   * @param text the part
   * @param restart whether the caller must drop the parts it got before this one
   */
  record Emit(CallerId caller, String text, boolean restart) implements Action {}

  /**
   * Hand a request to the incarnation that is its home.
   *
   * @param home the incarnation
   * @param request the request
   * @param caller on whose behalf
   */
  record ForwardRequest(Home home, Request request, CallerId caller) implements Action {}

  /**
   * Ask the incarnation that is home to an identifier for the outcome.
   *
   * @param home the incarnation
   * @param key identity of the request
   * @param caller on whose behalf
   * @param remainingMillis how long the caller waits
   */
  record ForwardAsk(Home home, RequestKey key, CallerId caller, long remainingMillis)
      implements Action {}

  /**
   * Ask a replica for its load report.
   *
   * @param service its service
   * @param replica the replica
   */
  record Poll(ObjectName service, ListedReplica replica) implements Action {}

  /**
   * Write a decision to the log.
   *
   * @param decision the decision
   */
  record Record(Decision decision) implements Action {}
}
