package org.arbutusspar.core.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.balancing.Pool;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.Samples;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Reason;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.core.request.StageOutput;
import org.junit.jupiter.api.Test;

/**
 * Tests of the {@link Coordinator} on a virtual clock: stages, retries, outcomes of non-repeatable
 * requests, forwarding, admission, polling and streaming. They guard against requests that run
 * twice, get the answer of another request, or get a verdict that does not match what ran.
 */
class CoordinatorTest {

  private final CoordinatorHarness instance = CoordinatorHarness.ready();

  private CallerId arrivePipeline(String suffix) {
    return instance.arrive(instance.pipelineRequest(instance.key("big", suffix), 1_000));
  }

  private CallerId arriveNonRepeatable(String suffix) {
    return instance.arrive(instance.nonRepeatableRequest(instance.key("big", suffix), 1_000));
  }

  private void answerAll() {
    for (int i = 0; i < instance.sends.size(); i++) {
      instance.answer(instance.sends.get(i));
    }
  }

  @Test
  void requestRunsAllStagesAndGetsItsOwnAnswer() {
    final CallerId caller = arrivePipeline("x");
    answerAll();
    Outcome.Answered answered = (Outcome.Answered) instance.outcome(caller);
    assertEquals("big/x", answered.answer());
    assertEquals(List.of("big/x"), answered.documents());
    assertEquals(3, answered.costs().size());
    assertEquals(3, instance.sends.size());
  }

  @Test
  void duplicateOrLateResponseIsIgnored() {
    final CallerId caller = arrivePipeline("x");
    Action.Send encode = instance.lastSend();
    instance.answer(encode);
    instance.answer(encode);
    assertEquals(2, instance.sends.size());
    answerAll();
    instance.answer(encode);
    assertEquals("big/x", ((Outcome.Answered) instance.outcome(caller)).answer());
  }

  @Test
  void stageIsRetriedAfterResponseOfWrongKindOrTruncatedResponse() {
    arrivePipeline("x");
    Action.Send encode = instance.lastSend();
    instance.handle(
        new Event.Replied(
            encode.attempt(), new StageOutput.Generated("other", true), Optional.empty()));
    assertEquals(2, instance.sends.size(), "the stage is retried");
    assertEquals("enc", instance.lastSend().service().name().value());
    instance.answer(instance.lastSend());
    instance.answer(instance.lastSend());
    Action.Send generate = instance.lastSend();
    instance.handle(
        new Event.Replied(
            generate.attempt(), new StageOutput.Generated("half", false), Optional.empty()));
    assertEquals("gen", instance.lastSend().service().name().value());
    assertEquals(5, instance.sends.size());
  }

  @Test
  void unsentAttemptIsRetriedAtAnotherReplicaEvenIfNonRepeatable() {
    final CallerId caller = arriveNonRepeatable("x");
    instance.fail(instance.sends.get(0), AttemptFailure.Kind.NOT_SENT);
    assertEquals(2, instance.sends.size());
    assertFalse(instance.sends.get(0).replica().id().equals(instance.sends.get(1).replica().id()));
    instance.answer(instance.lastSend());
    assertTrue(instance.outcome(caller) instanceof Outcome.Answered);
  }

  @Test
  void lostConnectionMakesOutcomeOfNonRepeatableRequestUnknown() {
    final CallerId caller = arriveNonRepeatable("x");
    instance.fail(instance.lastSend(), AttemptFailure.Kind.LOST);
    assertEquals(Outcome.Verdict.UNKNOWN, instance.refusal(caller).verdict());
    assertEquals(1, instance.sends.size());
    CallerId again = arriveNonRepeatable("x");
    assertEquals(Outcome.Verdict.UNKNOWN, instance.refusal(again).verdict());
    assertEquals(1, instance.sends.size(), "a client retry must not run the request again");
  }

  @Test
  void errorOfPlainServiceFailsNonRepeatableRequestWithoutRetry() {
    final CallerId caller = arriveNonRepeatable("x");
    instance.fail(instance.lastSend(), AttemptFailure.Kind.ERROR);
    assertEquals(Outcome.Verdict.FAILED, instance.refusal(caller).verdict());
    assertEquals("plain", instance.refusal(caller).origin().step());
    assertEquals(1, instance.sends.size());
  }

  @Test
  void callersWithSameIdentifierShareOneRun() {
    final CallerId first = arriveNonRepeatable("x");
    final CallerId second = arriveNonRepeatable("x");
    assertEquals(1, instance.sends.size());
    instance.answer(instance.lastSend());
    assertEquals(instance.outcome(first), instance.outcome(second));
    assertEquals(instance.outcome(first), instance.outcome(arriveNonRepeatable("x")));
    assertEquals(1, instance.sends.size());
  }

  @Test
  void identifierReusedForAnotherRequestIsRefused() {
    arriveNonRepeatable("x");
    Request other = instance.nonRepeatableRequest(instance.key("big", "x"), 1_000);
    CallerId caller =
        instance.arrive(
            new Request(
                other.key(), other.target(), other.data(), false, true, other.deadlineNanos(), 7));
    assertEquals(Reason.IDENTIFIER_REUSED, instance.refusal(caller).reason());
    assertEquals(1, instance.sends.size());
  }

  @Test
  void equalIdentifiersInTwoWorkspacesAreSeparateRequests() {
    final CallerId big =
        instance.arrive(instance.nonRepeatableRequest(instance.key("big", "x"), 1_000));
    final CallerId small =
        instance.arrive(instance.nonRepeatableRequest(instance.key("small", "x"), 1_000));
    assertEquals(2, instance.sends.size());
    answerAll();
    assertEquals("{\"mark\":\"big/x\"}", ((Outcome.Answered) instance.outcome(big)).answer());
    assertEquals("{\"mark\":\"small/x\"}", ((Outcome.Answered) instance.outcome(small)).answer());
  }

  @Test
  void requestIsForwardedToItsReachableHome() {
    Home other = new Home(InstanceId.of("b"), 9);
    instance.handle(new Event.PeersChanged(Set.of(other), 2));
    RequestKey key = CoordinatorHarness.key(other, "big", "x", 0);
    instance.arrive(instance.nonRepeatableRequest(key, 1_000));
    assertEquals(0, instance.sends.size());
    assertTrue(instance.otherActions.stream().anyMatch(a -> a instanceof Action.ForwardRequest));
  }

  @Test
  void nonRepeatableRequestOfUnreachableHomeIsNotStarted() {
    Home previousIncarnation = new Home(instance.home.instance(), 99);
    final CallerId caller =
        instance.arrive(
            instance.nonRepeatableRequest(
                CoordinatorHarness.key(previousIncarnation, "big", "x", 0), 1_000));
    assertEquals(Outcome.Verdict.UNKNOWN, instance.refusal(caller).verdict());
    assertEquals(Reason.HOME_GONE, instance.refusal(caller).reason());
    assertEquals(0, instance.sends.size());
  }

  @Test
  void expiredIdentifierIsNotRunAndIdentifierPastRetentionIsUnknown() {
    final CallerId expired =
        instance.arrive(
            instance.nonRepeatableRequest(
                CoordinatorHarness.key(instance.home, "big", "x", 120_000), 1_000));
    assertEquals(Outcome.Verdict.NOT_RUN, instance.refusal(expired).verdict());
    final CallerId pastRetention =
        instance.arrive(
            instance.nonRepeatableRequest(
                CoordinatorHarness.key(instance.home, "big", "y", 900_000), 1_000));
    assertEquals(Outcome.Verdict.UNKNOWN, instance.refusal(pastRetention).verdict());
    assertEquals(0, instance.sends.size());
  }

  @Test
  void requestArrivingAfterNotRunOutcomeDoesNotStart() {
    RequestKey key = instance.key("big", "x");
    final CallerId asked = instance.ask(key);
    assertEquals(Outcome.Verdict.NOT_RUN, instance.refusal(asked).verdict());
    final CallerId late = instance.arrive(instance.nonRepeatableRequest(key, 1_000));
    assertEquals(Outcome.Verdict.NOT_RUN, instance.refusal(late).verdict());
    assertEquals(
        0,
        instance.sends.size(),
        "a request that arrives after its verdict \"not run\" must not start");
  }

  @Test
  void lateResponseOfNonRepeatableRequestIsStoredForItsCaller() {
    final CallerId caller = arriveNonRepeatable("x");
    instance.advanceMillis(1_001);
    assertEquals(Outcome.Verdict.UNKNOWN, instance.refusal(caller).verdict());
    assertTrue(instance.refusal(caller).comeBackMillis() > 0);
    instance.answer(instance.lastSend());
    CallerId again = instance.ask(instance.key("big", "x"));
    assertTrue(instance.outcome(again) instanceof Outcome.Answered);
  }

  @Test
  void attemptIsCancelledWhenDeadlinePasses() {
    final CallerId caller = arrivePipeline("x");
    instance.advanceMillis(1_001);
    assertEquals(Reason.DEADLINE, instance.refusal(caller).reason());
    assertEquals(List.of(instance.lastSend().attempt()), instance.cancelled);
    assertEquals(0, instance.coordinator.status().active());
    assertEquals(
        1,
        instance.refusal(caller).costs().size(),
        "the outcome lists the cost of the cancelled attempt");
  }

  @Test
  void silentConnectionCountsNeitherAgainstReplicaNorRetryBudget() {
    CoordinatorHarness singleReplica = CoordinatorHarness.ready(Samples.state(), 1);
    CallerId caller =
        singleReplica.arrive(singleReplica.pipelineRequest(singleReplica.key("big", "x"), 1_000));
    for (int i = 0; i < 5; i++) {
      singleReplica.fail(singleReplica.lastSend(), AttemptFailure.Kind.SILENT);
    }
    assertEquals(6, singleReplica.sends.size());
    assertFalse(singleReplica.hasOutcome(caller));
  }

  @Test
  void replicaThatReportsLeavingGetsNoNewRequests() {
    instance.handle(
        new Event.Polled(ObjectName.of("enc"), ReplicaId.of("enc-1"), new LoadReport(0, 0, true)));
    for (int i = 0; i < 4; i++) {
      arrivePipeline("x" + i);
    }
    assertTrue(instance.sends.stream().allMatch(s -> s.replica().id().value().equals("enc-2")));
  }

  @Test
  void replicaWithStaleReportGetsNoNewRequests() {
    instance.advanceMillis(4_000);
    arrivePipeline("x");
    assertEquals(0, instance.sends.size());
    instance.reportAllIdle(2);
    assertEquals(1, instance.sends.size());
  }

  @Test
  void pollsKeepReportsOfAllReplicasFreshWhenIdle() {
    int perService = 8;
    CoordinatorHarness idleInstance = CoordinatorHarness.ready(Samples.state(), perService);
    for (int tick = 0; tick < 2_000; tick++) {
      idleInstance.otherActions.clear();
      idleInstance.advanceMillis(10);
      for (Action action : List.copyOf(idleInstance.otherActions)) {
        if (action instanceof Action.Poll poll) {
          idleInstance.handle(
              new Event.Polled(
                  poll.service(), poll.replica().id(), CoordinatorHarness.IDLE_REPORT));
        }
      }
      for (Pool pool : idleInstance.coordinator.pools()) {
        assertEquals(perService, pool.replicas().size());
        assertTrue(
            pool.replicas().stream().allMatch(r -> r.isReportFresh(idleInstance.now)),
            pool.service().name() + " at tick " + tick);
      }
    }
  }

  @Test
  void requestThatCannotMeetItsDeadlineIsRefusedWithRetryDelay() {
    final CallerId caller = instance.arrive(instance.pipelineRequest(instance.key("big", "x"), 20));
    Outcome.Refused refused = instance.refusal(caller);
    assertEquals(Outcome.Verdict.NOT_RUN, refused.verdict());
    assertEquals(Reason.OVERLOADED, refused.reason());
    assertTrue(refused.comeBackMillis() >= 200);
    assertEquals(0, instance.sends.size());
  }

  @Test
  void drainingInstanceFinishesActiveRequestsAndRefusesNewOnes() {
    final CallerId before = arrivePipeline("x");
    instance.handle(new Event.Drain());
    final CallerId after = arrivePipeline("y");
    assertEquals(Reason.LEAVING, instance.refusal(after).reason());
    answerAll();
    assertTrue(instance.outcome(before) instanceof Outcome.Answered);
  }

  @Test
  void unknownTargetIsRefused() {
    Request known = instance.pipelineRequest(instance.key("big", "x"), 1_000);
    Request unknown =
        new Request(
            known.key(),
            new Request.Target(Request.TargetKind.PIPELINE, ObjectName.of("none")),
            known.data(),
            true,
            true,
            known.deadlineNanos(),
            1);
    assertEquals(Reason.NO_SUCH_TARGET, instance.refusal(instance.arrive(unknown)).reason());
  }

  @Test
  void configurationOfLowerRevisionIsIgnored() {
    instance.handle(new Event.Configured(ConfigState.EMPTY));
    assertEquals(1, instance.coordinator.config().state().revision());
  }

  @Test
  void retriedStreamMakesCallerDiscardEarlierParts() {
    CallerId caller = new CallerId(77);
    Request request = instance.pipelineRequest(instance.key("big", "x"), 1_000);
    instance.handle(new Event.Arrive(request, caller, true));
    instance.answer(instance.lastSend());
    instance.answer(instance.lastSend());
    Action.Send first = instance.lastSend();
    instance.handle(new Event.TokenArrived(first.attempt(), "half"));
    instance.fail(first, AttemptFailure.Kind.LOST);
    instance.handle(new Event.TokenArrived(first.attempt(), "stale"));
    instance.handle(new Event.TokenArrived(instance.lastSend().attempt(), "whole"));
    List<Action> emits =
        instance.otherActions.stream().filter(a -> a instanceof Action.Emit).toList();
    assertEquals(
        List.of(new Action.Emit(caller, "half", false), new Action.Emit(caller, "whole", true)),
        emits);
  }

  @Test
  void streamingCallerGetsFullTextOfHedgeThatEndsFirst() {
    CallerId caller = new CallerId(77);
    Request request = instance.pipelineRequest(instance.key("big", "x"), 1_000);
    instance.handle(new Event.Arrive(request, caller, true));
    instance.answer(instance.lastSend());
    instance.answer(instance.lastSend());
    final Action.Send first = instance.lastSend();
    instance.advanceMillis(100);
    Action.Send hedge = instance.lastSend();
    assertFalse(hedge.equals(first), "a hedge is sent");
    instance.handle(new Event.TokenArrived(first.attempt(), "half"));
    instance.answer(hedge);
    List<Action> emits =
        instance.otherActions.stream().filter(a -> a instanceof Action.Emit).toList();
    assertEquals(
        List.of(new Action.Emit(caller, "half", false), new Action.Emit(caller, "big/x", true)),
        emits);
  }

  @Test
  void consecutiveFailuresEjectReplica() {
    CoordinatorHarness singleReplica = CoordinatorHarness.ready(Samples.state(), 1);
    CallerId caller =
        singleReplica.arrive(singleReplica.pipelineRequest(singleReplica.key("big", "x"), 1_000));
    for (int i = 0; i < 3; i++) {
      singleReplica.fail(singleReplica.lastSend(), AttemptFailure.Kind.ERROR);
    }
    assertFalse(singleReplica.hasOutcome(caller));
    assertEquals(3, singleReplica.sends.size(), "the ejected replica gets no fourth attempt");
  }
}
