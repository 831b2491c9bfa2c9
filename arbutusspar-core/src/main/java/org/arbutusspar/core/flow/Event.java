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

/** What happens to an entry instance, as told to its {@link Coordinator}. */
public sealed interface Event {

  /**
   * A caller or a fellow instance brings a request.
   *
   * @param request the request
   * @param caller who waits for its outcome
   * @param streaming whether the caller wants parts of the answer as they come
   */
  record Arrive(Request request, CallerId caller, boolean streaming) implements Event {

    /** Checks the components. */
    public Arrive {
      Objects.requireNonNull(request, "request");
      Objects.requireNonNull(caller, "caller");
    }
  }

  /**
   * A caller or a fellow instance asks again for an outcome.
   *
   * @param key identity of the request
   * @param caller who waits
   * @param deadlineNanos how long the caller waits
   */
  record Ask(RequestKey key, CallerId caller, long deadlineNanos) implements Event {}

  /**
   * A caller's connection closed.
   *
   * @param caller the caller
   * @param key identity of its request
   */
  record CallerLeft(CallerId caller, RequestKey key) implements Event {}

  /**
   * A generate stage wrote a part of its answer.
   *
   * @param attempt the attempt
   * @param text the part
   */
  record TokenArrived(AttemptId attempt, String text) implements Event {}

  /**
   * An attempt's answer arrived whole.
   *
   * @param attempt the attempt, as the upstream's answer names it
   * @param output the decoded output
   * @param report the replica's word about itself, if the answer carried it
   */
  record Replied(AttemptId attempt, StageOutput output, Optional<LoadReport> report)
      implements Event {}

  /**
   * An attempt ended without an answer.
   *
   * @param attempt the attempt
   * @param failure what happened
   * @param report the replica's word about itself, if there was any
   */
  record AttemptFailed(AttemptId attempt, AttemptFailure failure, Optional<LoadReport> report)
      implements Event {}

  /**
   * A replica answered a poll.
   *
   * @param service its service
   * @param replica the replica
   * @param report its word about itself
   */
  record Polled(ObjectName service, ReplicaId replica, LoadReport report) implements Event {}

  /**
   * An engine published that it dropped a prompt prefix from its cache.
   *
   * @param replica the replica
   * @param affinity hash of the prefix
   */
  record PrefixDropped(ReplicaId replica, long affinity) implements Event {}

  /**
   * The platform's list changed.
   *
   * @param replicas every replica that it names
   */
  record Listed(List<ListedReplica> replicas) implements Event {

    /** Copies the list. */
    public Listed {
      replicas = List.copyOf(replicas);
    }
  }

  /**
   * A configuration came into force.
   *
   * @param state the configuration
   */
  record Configured(ConfigState state) implements Event {}

  /**
   * The set of incarnations that this instance has a link to changed.
   *
   * @param reachable the incarnations
   * @param liveInstances number of live instances in the deployment, this one included
   */
  record PeersChanged(Set<Home> reachable, int liveInstances) implements Event {

    /** Copies the set. */
    public PeersChanged {
      reachable = Set.copyOf(reachable);
    }
  }

  /**
   * A fellow instance answered what was forwarded to it.
   *
   * @param caller the caller on whose behalf it was forwarded
   * @param outcome the outcome
   */
  record ForwardReplied(CallerId caller, Outcome outcome) implements Event {}

  /**
   * A fellow instance could not be reached, or its link was lost, before it answered.
   *
   * @param caller the caller on whose behalf it was forwarded
   */
  record ForwardLost(CallerId caller) implements Event {}

  /** The instance is to shut down: it finishes what it has and refuses what is new. */
  record Drain() implements Event {}

  /** Time has passed. */
  record Tick() implements Event {}
}
