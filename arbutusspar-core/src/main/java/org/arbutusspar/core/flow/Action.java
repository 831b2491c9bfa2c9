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

/** An effect that a {@link Coordinator} asks its entry instance to carry out. */
public sealed interface Action {

  /**
   * Sends an attempt to a replica.
   *
   * @param attempt the attempt
   * @param service service of the stage
   * @param stage stage of the pipeline that is run
   * @param replica replica that gets the call
   * @param data request data after the stages before this one
   * @param remainingMillis milliseconds until the deadline of the request
   * @param streaming whether parts of the response are to be reported as they arrive
   * @param freshConnection whether the call needs a new connection instead of a pooled one; true
   *     for non-repeatable requests, which cannot be resent when a pooled connection is stale
   * @param affinity hash of the prompt prefix, used to reach a replica that has it in its prompt
   *     cache; 0 for a service without a prompt cache
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
   * Cancels an attempt whose response is no longer needed.
   *
   * @param attempt the attempt
   */
  record Cancel(AttemptId attempt) implements Action {}

  /**
   * Sends a caller the final outcome of its request.
   *
   * @param caller the caller
   * @param key key of its request
   * @param outcome the outcome
   */
  record Reply(CallerId caller, RequestKey key, Outcome outcome) implements Action {}

  /**
   * Sends a streaming caller a part of its answer.
   *
   * @param caller the caller
   * @param text text of the part
   * @param restart whether the caller must discard all earlier parts, because they come from
   *     another attempt
   */
  record Emit(CallerId caller, String text, boolean restart) implements Action {}

  /**
   * Forwards a request to its home, the incarnation that issued its identifier.
   *
   * @param home the home
   * @param request the request
   * @param caller caller that gets the outcome
   */
  record ForwardRequest(Home home, Request request, CallerId caller) implements Action {}

  /**
   * Asks the home of a request for its outcome.
   *
   * @param home incarnation that issued the identifier of the request
   * @param key key of the request
   * @param caller caller that gets the outcome
   * @param remainingMillis milliseconds for which the caller waits
   */
  record ForwardAsk(Home home, RequestKey key, CallerId caller, long remainingMillis)
      implements Action {}

  /**
   * Polls a replica for its load report.
   *
   * @param service service of the replica
   * @param replica the replica
   */
  record Poll(ObjectName service, ListedReplica replica) implements Action {}

  /**
   * Writes a decision to the decision log.
   *
   * @param decision the decision
   */
  record Record(Decision decision) implements Action {}
}
