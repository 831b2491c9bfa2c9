package org.arbutusspar.core.flow;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.id.AttemptId;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.core.request.StageOutput;

/** An input of a {@link Coordinator}: something that happened at its entry instance. */
public sealed interface Event {

  /**
   * A request arrived from a caller or from a peer.
   *
   * @param request the request
   * @param caller caller that waits for its outcome
   * @param streaming whether the caller gets parts of the answer as they arrive
   */
  record Arrive(Request request, CallerId caller, boolean streaming) implements Event {

    /** Checks the components. */
    public Arrive {
      Objects.requireNonNull(request, "request");
      Objects.requireNonNull(caller, "caller");
    }
  }

  /**
   * A caller or a peer asked for the outcome of a request by its identifier.
   *
   * @param key key of the request
   * @param caller caller that waits for the outcome
   * @param deadlineNanos monotonic time until which the caller waits, in nanoseconds
   */
  record Ask(RequestKey key, CallerId caller, long deadlineNanos) implements Event {}

  /**
   * A caller closed its connection before it got an outcome.
   *
   * @param caller the caller
   * @param key key of its request
   */
  record CallerLeft(CallerId caller, RequestKey key) implements Event {}

  /**
   * An attempt of a generate stage returned a part of its text.
   *
   * @param attempt identifier of the attempt
   * @param text text of the part
   */
  record TokenArrived(AttemptId attempt, String text) implements Event {}

  /**
   * The complete response of an attempt arrived.
   *
   * @param attempt identifier of the attempt, as named in the response of the upstream
   * @param output the decoded output
   * @param report load report of the replica, if the response carried one
   */
  record Replied(AttemptId attempt, StageOutput output, Optional<LoadReport> report)
      implements Event {}

  /**
   * An attempt ended without a valid response.
   *
   * @param attempt identifier of the attempt
   * @param failure kind and detail of the failure
   * @param report load report of the replica, if there was a response that carried one
   */
  record AttemptFailed(AttemptId attempt, AttemptFailure failure, Optional<LoadReport> report)
      implements Event {}

  /**
   * A replica responded to a poll.
   *
   * @param service service of the replica
   * @param replica the replica
   * @param report its load report
   */
  record Polled(ObjectName service, ReplicaId replica, LoadReport report) implements Event {}

  /**
   * An engine published that it evicted a prompt prefix from its cache.
   *
   * @param replica replica that runs the engine
   * @param affinity hash of the prefix
   */
  record PrefixDropped(ReplicaId replica, long affinity) implements Event {}

  /**
   * The platform's list of replicas changed.
   *
   * @param replicas all replicas in the new list
   */
  record Listed(List<ListedReplica> replicas) implements Event {

    /** Copies the list. */
    public Listed {
      replicas = List.copyOf(replicas);
    }
  }

  /**
   * The instance got a new configuration. One with a lower revision than the present one is
   * ignored.
   *
   * @param state the configuration
   */
  record Configured(ConfigState state) implements Event {}

  /**
   * The set of peers to which this instance has a link changed.
   *
   * @param reachable incarnations of the linked peers
   * @param liveInstances number of live instances in the deployment, this one included
   */
  record PeersChanged(Set<Home> reachable, int liveInstances) implements Event {

    /** Copies the set. */
    public PeersChanged {
      reachable = Set.copyOf(reachable);
    }
  }

  /**
   * A peer returned the outcome of a forwarded request or query.
   *
   * @param caller caller for which it was forwarded
   * @param outcome the outcome
   */
  record ForwardReplied(CallerId caller, Outcome outcome) implements Event {}

  /**
   * A peer could not be reached, or the link to it was lost, before it returned an outcome.
   *
   * @param caller caller for which the request or query was forwarded
   */
  record ForwardLost(CallerId caller) implements Event {}

  /** The instance starts to drain: it finishes its requests and rejects new ones. */
  record Drain() implements Event {}

  /** Periodic event that fires due timers, polls replicas and dispatches queued requests. */
  record Tick() implements Event {}
}
