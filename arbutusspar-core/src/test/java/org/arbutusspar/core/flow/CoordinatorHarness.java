package org.arbutusspar.core.flow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.Samples;
import org.arbutusspar.core.id.AttemptId;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.PrefixSigner;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.core.id.RequestId;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.id.WorkspaceId;
import org.arbutusspar.core.request.Document;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.core.request.RequestData;
import org.arbutusspar.core.request.StageOutput;

/** Test harness that runs one coordinator on a virtual clock and records its actions by kind. */
final class CoordinatorHarness {

  static final DataCentre DATA_CENTRE = DataCentre.of("here");
  static final LoadReport IDLE_REPORT = new LoadReport(0, 0, false);

  private static final long START_WALL_MILLIS = 1_000_000_000L;
  private static final PrefixSigner SIGNER = PrefixSigner.create(new byte[16]);

  final Home home;
  final Coordinator coordinator;
  final List<Action.Send> sends = new ArrayList<>();
  final List<AttemptId> cancelled = new ArrayList<>();
  final Map<CallerId, List<Outcome>> replies = new HashMap<>();
  final List<Action> otherActions = new ArrayList<>();
  long now = Nanos.ofMillis(1);
  private long nextCaller;

  CoordinatorHarness(String instance, long incarnation, Policy policy) {
    home = new Home(InstanceId.of(instance), incarnation);
    coordinator =
        Coordinator.create(
            new CoordinatorOptions(home, DATA_CENTRE, policy, incarnation, now, START_WALL_MILLIS));
  }

  /** Returns a harness with the sample configuration and two live replicas of each service. */
  static CoordinatorHarness ready() {
    return ready(Samples.state(), 2);
  }

  static CoordinatorHarness ready(ConfigState state, int replicas) {
    CoordinatorHarness harness = new CoordinatorHarness("a", 1, Policy.standard());
    harness.configure(state, replicas);
    return harness;
  }

  void configure(ConfigState state, int replicas) {
    handle(new Event.Configured(state));
    handle(new Event.Listed(listedReplicas(replicas)));
    reportAllIdle(replicas);
  }

  /** Delivers an idle load report of each replica. */
  void reportAllIdle(int replicas) {
    for (ListedReplica each : listedReplicas(replicas)) {
      handle(new Event.Polled(each.service(), each.id(), IDLE_REPORT));
    }
  }

  /** Returns the list of replicas, with the given number for each service. */
  static List<ListedReplica> listedReplicas(int replicas) {
    List<ListedReplica> list = new ArrayList<>();
    int port = 1;
    for (String service : List.of("enc", "ret", "gen", "plain")) {
      for (int i = 1; i <= replicas; i++) {
        list.add(
            new ListedReplica(
                ReplicaId.of(service + "-" + i),
                ObjectName.of(service),
                new Endpoint("127.0.0.1", port++),
                DATA_CENTRE,
                false));
      }
    }
    return list;
  }

  /** Handles an event at the present time and records the resulting actions. */
  void handle(Event event) {
    for (Action action : coordinator.handle(event, now)) {
      if (action instanceof Action.Send send) {
        sends.add(send);
      } else if (action instanceof Action.Cancel cancel) {
        cancelled.add(cancel.attempt());
      } else if (action instanceof Action.Reply reply) {
        replies.computeIfAbsent(reply.caller(), c -> new ArrayList<>()).add(reply.outcome());
      } else {
        otherActions.add(action);
      }
    }
  }

  void advanceMillis(long millis) {
    now += Nanos.ofMillis(millis);
    handle(new Event.Tick());
  }

  /**
   * Returns the key of a request whose identifier was issued {@code ageMillis} before the start.
   */
  static RequestKey key(Home home, String workspace, String suffix, long ageMillis) {
    return new RequestKey(
        WorkspaceId.of(workspace),
        new RequestId(SIGNER.issue(home, START_WALL_MILLIS - ageMillis), suffix));
  }

  RequestKey key(String workspace, String suffix) {
    return key(home, workspace, suffix, 0);
  }

  Request pipelineRequest(RequestKey key, long deadlineMillis) {
    return request(key, Request.TargetKind.PIPELINE, "chat", true, deadlineMillis);
  }

  Request nonRepeatableRequest(RequestKey key, long deadlineMillis) {
    return request(key, Request.TargetKind.SERVICE, "plain", false, deadlineMillis);
  }

  private Request request(
      RequestKey key,
      Request.TargetKind kind,
      String name,
      boolean repeatable,
      long deadlineMillis) {
    return new Request(
        key,
        new Request.Target(kind, ObjectName.of(name)),
        RequestData.of("question of " + key.id().suffix(), 5),
        repeatable,
        true,
        now + Nanos.ofMillis(deadlineMillis),
        key.id().suffix().hashCode() | 1);
  }

  CallerId arrive(Request request) {
    CallerId caller = new CallerId(nextCaller++);
    handle(new Event.Arrive(request, caller, false));
    return caller;
  }

  CallerId ask(RequestKey key) {
    CallerId caller = new CallerId(nextCaller++);
    handle(new Event.Ask(key, caller, now + Nanos.ofMillis(1_000)));
    return caller;
  }

  /** Returns the outcome that a caller got, and fails if it got none or several. */
  Outcome outcome(CallerId caller) {
    List<Outcome> outcomes = replies.getOrDefault(caller, List.of());
    if (outcomes.size() != 1) {
      throw new AssertionError(
          "caller must get one outcome but got " + outcomes.size() + " outcomes");
    }
    return outcomes.get(0);
  }

  Outcome.Refused refusal(CallerId caller) {
    return (Outcome.Refused) outcome(caller);
  }

  boolean hasOutcome(CallerId caller) {
    return replies.containsKey(caller);
  }

  Action.Send lastSend() {
    return sends.get(sends.size() - 1);
  }

  /** Delivers a valid response to an attempt. */
  void answer(Action.Send send) {
    handle(new Event.Replied(send.attempt(), validOutput(send), Optional.of(IDLE_REPORT)));
  }

  void fail(Action.Send send, AttemptFailure.Kind kind) {
    handle(
        new Event.AttemptFailed(
            send.attempt(), new AttemptFailure(kind, "test"), Optional.empty()));
  }

  /** Returns a valid output for an attempt that contains the mark of its request. */
  static StageOutput validOutput(Action.Send send) {
    String mark = requestMark(send.attempt().request());
    return switch (send.service().kind()) {
      case ENCODE -> new StageOutput.Encoded(List.of(1.0, 2.0));
      case RETRIEVE -> new StageOutput.Retrieved(List.of(new Document(mark, "t", 1)));
      case RERANK -> new StageOutput.Ranked(List.of(0));
      case GENERATE -> new StageOutput.Generated(mark, true);
      case PLAIN -> new StageOutput.Plain("{\"mark\":\"" + mark + "\"}");
    };
  }

  /** Returns the text that identifies a request in its answer. */
  static String requestMark(RequestKey key) {
    return key.workspace() + "/" + key.id().suffix();
  }
}
