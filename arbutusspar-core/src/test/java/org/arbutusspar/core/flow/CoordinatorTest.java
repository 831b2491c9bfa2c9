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

class CoordinatorTest {

  private final FakeWorld world = FakeWorld.ready();

  private CallerId arrivePipeline(String suffix) {
    return world.arrive(world.pipelineRequest(world.key("big", suffix), 1_000));
  }

  private CallerId arriveOnce(String suffix) {
    return world.arrive(world.onceRequest(world.key("big", suffix), 1_000));
  }

  private void answerAll() {
    for (int i = 0; i < world.sends.size(); i++) {
      world.answer(world.sends.get(i));
    }
  }

  @Test
  void requestGoesThroughItsStagesAndGetsItsOwnAnswer() {
    final CallerId caller = arrivePipeline("x");
    answerAll();
    Outcome.Answered answered = (Outcome.Answered) world.outcome(caller);
    assertEquals("big/x", answered.answer());
    assertEquals(List.of("big/x"), answered.documents());
    assertEquals(3, answered.costs().size());
    assertEquals(3, world.sends.size());
  }

  @Test
  void answerThatComesTwiceOrLateIsNotUsedAgain() {
    final CallerId caller = arrivePipeline("x");
    Action.Send encode = world.lastSend();
    world.answer(encode);
    world.answer(encode);
    assertEquals(2, world.sends.size());
    answerAll();
    world.answer(encode);
    assertEquals("big/x", ((Outcome.Answered) world.outcome(caller)).answer());
  }

  @Test
  void answerOfAnotherKindOrCutInTheMiddleIsTriedAgain() {
    arrivePipeline("x");
    Action.Send encode = world.lastSend();
    world.handle(
        new Event.Replied(
            encode.attempt(), new StageOutput.Generated("other", true), Optional.empty()));
    assertEquals(2, world.sends.size(), "the stage is tried again");
    assertEquals("enc", world.lastSend().service().name().value());
    world.answer(world.lastSend());
    world.answer(world.lastSend());
    Action.Send generate = world.lastSend();
    world.handle(
        new Event.Replied(
            generate.attempt(), new StageOutput.Generated("half", false), Optional.empty()));
    assertEquals("gen", world.lastSend().service().name().value());
    assertEquals(5, world.sends.size());
  }

  @Test
  void refusedConnectionIsTriedElsewhereEvenForNonRepeatableRequest() {
    final CallerId caller = arriveOnce("x");
    world.fail(world.sends.get(0), AttemptFailure.Kind.NOT_SENT);
    assertEquals(2, world.sends.size());
    assertFalse(world.sends.get(0).replica().id().equals(world.sends.get(1).replica().id()));
    world.answer(world.lastSend());
    assertTrue(world.outcome(caller) instanceof Outcome.Answered);
  }

  @Test
  void lostConnectionLeavesTheOutcomeOfNonRepeatableRequestUnknown() {
    final CallerId caller = arriveOnce("x");
    world.fail(world.lastSend(), AttemptFailure.Kind.LOST);
    assertEquals(Outcome.Verdict.UNKNOWN, world.refusal(caller).verdict());
    assertEquals(1, world.sends.size());
    CallerId again = arriveOnce("x");
    assertEquals(Outcome.Verdict.UNKNOWN, world.refusal(again).verdict());
    assertEquals(1, world.sends.size(), "a retry must not run it again");
  }

  @Test
  void errorOfThePlainServiceIsFailureAndNotRepeated() {
    final CallerId caller = arriveOnce("x");
    world.fail(world.lastSend(), AttemptFailure.Kind.ERROR);
    assertEquals(Outcome.Verdict.FAILED, world.refusal(caller).verdict());
    assertEquals("plain", world.refusal(caller).origin().step());
    assertEquals(1, world.sends.size());
  }

  @Test
  void twoCallersWithTheSameIdentifierShareOneRun() {
    final CallerId first = arriveOnce("x");
    final CallerId second = arriveOnce("x");
    assertEquals(1, world.sends.size());
    world.answer(world.lastSend());
    assertEquals(world.outcome(first), world.outcome(second));
    assertEquals(world.outcome(first), world.outcome(arriveOnce("x")));
    assertEquals(1, world.sends.size());
  }

  @Test
  void identifierCannotBeReusedForAnotherRequest() {
    arriveOnce("x");
    Request other = world.onceRequest(world.key("big", "x"), 1_000);
    CallerId caller =
        world.arrive(
            new Request(
                other.key(), other.target(), other.data(), false, true, other.deadlineNanos(), 7));
    assertEquals(Reason.IDENTIFIER_REUSED, world.refusal(caller).reason());
    assertEquals(1, world.sends.size());
  }

  @Test
  void equalIdentifiersInTwoWorkspacesAreTwoRequests() {
    final CallerId big = world.arrive(world.onceRequest(world.key("big", "x"), 1_000));
    final CallerId small = world.arrive(world.onceRequest(world.key("small", "x"), 1_000));
    assertEquals(2, world.sends.size());
    answerAll();
    assertEquals("{\"mark\":\"big/x\"}", ((Outcome.Answered) world.outcome(big)).answer());
    assertEquals("{\"mark\":\"small/x\"}", ((Outcome.Answered) world.outcome(small)).answer());
  }

  @Test
  void identifierOfAnotherInstanceIsForwardedWhileItIsReachable() {
    Home other = new Home(InstanceId.of("b"), 9);
    world.handle(new Event.PeersChanged(Set.of(other), 2));
    RequestKey key = FakeWorld.key(other, "big", "x", 0);
    world.arrive(world.onceRequest(key, 1_000));
    assertEquals(0, world.sends.size());
    assertTrue(world.others.stream().anyMatch(a -> a instanceof Action.ForwardRequest));
  }

  @Test
  void identifierWhoseHomeIsGoneIsNeverStartedHere() {
    Home gone = new Home(world.home.instance(), 99);
    final CallerId caller =
        world.arrive(world.onceRequest(FakeWorld.key(gone, "big", "x", 0), 1_000));
    assertEquals(Outcome.Verdict.UNKNOWN, world.refusal(caller).verdict());
    assertEquals(Reason.HOME_GONE, world.refusal(caller).reason());
    assertEquals(0, world.sends.size());
  }

  @Test
  void oldIdentifierIsRefusedTruthfullyOrNotAtAll() {
    final CallerId expired =
        world.arrive(world.onceRequest(FakeWorld.key(world.home, "big", "x", 120_000), 1_000));
    assertEquals(Outcome.Verdict.NOT_RUN, world.refusal(expired).verdict());
    final CallerId ancient =
        world.arrive(world.onceRequest(FakeWorld.key(world.home, "big", "y", 900_000), 1_000));
    assertEquals(Outcome.Verdict.UNKNOWN, world.refusal(ancient).verdict());
    assertEquals(0, world.sends.size());
  }

  @Test
  void notRunIsFinalForTheIdentifier() {
    RequestKey key = world.key("big", "x");
    final CallerId asked = world.ask(key);
    assertEquals(Outcome.Verdict.NOT_RUN, world.refusal(asked).verdict());
    final CallerId late = world.arrive(world.onceRequest(key, 1_000));
    assertEquals(Outcome.Verdict.NOT_RUN, world.refusal(late).verdict());
    assertEquals(0, world.sends.size(), "a copy that was still on its way must not start");
  }

  @Test
  void theLateAnswerOfNonRepeatableRequestIsKeptForItsCaller() {
    final CallerId caller = arriveOnce("x");
    world.passMillis(1_001);
    assertEquals(Outcome.Verdict.UNKNOWN, world.refusal(caller).verdict());
    assertTrue(world.refusal(caller).comeBackMillis() > 0);
    world.answer(world.lastSend());
    CallerId again = world.ask(world.key("big", "x"));
    assertTrue(world.outcome(again) instanceof Outcome.Answered);
  }

  @Test
  void workWhoseDeadlineHasPassedIsCancelledAtOnce() {
    final CallerId caller = arrivePipeline("x");
    world.passMillis(1_001);
    assertEquals(Reason.DEADLINE, world.refusal(caller).reason());
    assertEquals(List.of(world.lastSend().attempt()), world.cancelled);
    assertEquals(0, world.coordinator.status().active());
    assertEquals(1, world.refusal(caller).costs().size(), "what it has cost is told");
  }

  @Test
  void silentConnectionIsNotHeldAgainstTheReplicaAndCostsNoBudget() {
    FakeWorld single = FakeWorld.ready(Samples.state(), 1);
    CallerId caller = single.arrive(single.pipelineRequest(single.key("big", "x"), 1_000));
    for (int i = 0; i < 5; i++) {
      single.fail(single.lastSend(), AttemptFailure.Kind.SILENT);
    }
    assertEquals(6, single.sends.size());
    assertFalse(single.hasOutcome(caller));
  }

  @Test
  void leavingReplicaGetsNoNewWorkByItsOwnWordOrByTheList() {
    world.handle(
        new Event.Polled(ObjectName.of("enc"), ReplicaId.of("enc-1"), new LoadReport(0, 0, true)));
    for (int i = 0; i < 4; i++) {
      arrivePipeline("x" + i);
    }
    assertTrue(world.sends.stream().allMatch(s -> s.replica().id().value().equals("enc-2")));
  }

  @Test
  void replicaThatWasNotHeardOfForSecondsGetsNoNewWork() {
    world.passMillis(4_000);
    arrivePipeline("x");
    assertEquals(0, world.sends.size());
    world.hearAll(2);
    assertEquals(1, world.sends.size());
  }

  @Test
  void pollsKeepEveryReplicaOfAnIdleDeploymentFresh() {
    int perService = 8;
    FakeWorld idle = FakeWorld.ready(Samples.state(), perService);
    for (int tick = 0; tick < 2_000; tick++) {
      idle.others.clear();
      idle.passMillis(10);
      for (Action action : List.copyOf(idle.others)) {
        if (action instanceof Action.Poll poll) {
          idle.handle(new Event.Polled(poll.service(), poll.replica().id(), FakeWorld.IDLE));
        }
      }
      for (Pool pool : idle.coordinator.pools()) {
        assertEquals(perService, pool.replicas().size());
        assertTrue(
            pool.replicas().stream().allMatch(r -> r.isReportFresh(idle.now)),
            pool.service().name() + " at tick " + tick);
      }
    }
  }

  @Test
  void whatCannotBeInTimeIsRefusedAtOnceWithTimeToComeBack() {
    final CallerId caller = world.arrive(world.pipelineRequest(world.key("big", "x"), 20));
    Outcome.Refused refused = world.refusal(caller);
    assertEquals(Outcome.Verdict.NOT_RUN, refused.verdict());
    assertEquals(Reason.OVERLOADED, refused.reason());
    assertTrue(refused.comeBackMillis() >= 200);
    assertEquals(0, world.sends.size());
  }

  @Test
  void drainingInstanceFinishesWhatItHasAndRefusesWhatIsNew() {
    final CallerId before = arrivePipeline("x");
    world.handle(new Event.Drain());
    final CallerId after = arrivePipeline("y");
    assertEquals(Reason.LEAVING, world.refusal(after).reason());
    answerAll();
    assertTrue(world.outcome(before) instanceof Outcome.Answered);
  }

  @Test
  void unknownTargetIsRefused() {
    Request known = world.pipelineRequest(world.key("big", "x"), 1_000);
    Request unknown =
        new Request(
            known.key(),
            new Request.Target(Request.TargetKind.PIPELINE, ObjectName.of("none")),
            known.data(),
            true,
            true,
            known.deadlineNanos(),
            1);
    assertEquals(Reason.NO_SUCH_TARGET, world.refusal(world.arrive(unknown)).reason());
  }

  @Test
  void theConfigurationNeverStepsBack() {
    world.handle(new Event.Configured(ConfigState.EMPTY));
    assertEquals(1, world.coordinator.config().state().revision());
  }

  @Test
  void streamThatIsRestartedTellsTheCallerToDropWhatItGot() {
    CallerId caller = new CallerId(77);
    Request request = world.pipelineRequest(world.key("big", "x"), 1_000);
    world.handle(new Event.Arrive(request, caller, true));
    world.answer(world.lastSend());
    world.answer(world.lastSend());
    Action.Send first = world.lastSend();
    world.handle(new Event.TokenArrived(first.attempt(), "half"));
    world.fail(first, AttemptFailure.Kind.LOST);
    world.handle(new Event.TokenArrived(first.attempt(), "stale"));
    world.handle(new Event.TokenArrived(world.lastSend().attempt(), "whole"));
    List<Action> emits = world.others.stream().filter(a -> a instanceof Action.Emit).toList();
    assertEquals(
        List.of(new Action.Emit(caller, "half", false), new Action.Emit(caller, "whole", true)),
        emits);
  }

  @Test
  void streamingCallerGetsTheWholeTextOfCopyThatEndsFirst() {
    CallerId caller = new CallerId(77);
    Request request = world.pipelineRequest(world.key("big", "x"), 1_000);
    world.handle(new Event.Arrive(request, caller, true));
    world.answer(world.lastSend());
    world.answer(world.lastSend());
    final Action.Send first = world.lastSend();
    world.passMillis(100);
    Action.Send copy = world.lastSend();
    assertFalse(copy.equals(first), "a second copy is sent");
    world.handle(new Event.TokenArrived(first.attempt(), "half"));
    world.answer(copy);
    List<Action> emits = world.others.stream().filter(a -> a instanceof Action.Emit).toList();
    assertEquals(
        List.of(new Action.Emit(caller, "half", false), new Action.Emit(caller, "big/x", true)),
        emits);
  }

  @Test
  void repeatedFailuresEjectReplicaForWhile() {
    FakeWorld single = FakeWorld.ready(Samples.state(), 1);
    CallerId caller = single.arrive(single.pipelineRequest(single.key("big", "x"), 1_000));
    for (int i = 0; i < 3; i++) {
      single.fail(single.lastSend(), AttemptFailure.Kind.ERROR);
    }
    assertFalse(single.hasOutcome(caller));
    assertEquals(3, single.sends.size(), "the ejected replica gets no fourth call");
  }
}
