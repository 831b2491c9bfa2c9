package org.arbutusspar.core.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.lifecycle.AfterContainer;
import org.apache.commons.rng.UniformRandomProvider;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.config.Samples;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Reason;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.core.request.StageOutput;

/**
 * Fuzz test of three coordinators that restart, lose their links and stop getting events for a
 * time, while callers send, retry and query requests at any instance. It guards against
 * non-repeatable requests that run twice, answers that reach another caller, callers without an
 * outcome, and verdicts "not run" for requests that ran or run later. An oracle counts the runs of
 * each non-repeatable request and records the verdicts that callers got.
 */
class CoordinatorFuzzTest {

  private static final int INSTANCES = 3;
  private static final int STEPS = 600;
  private static final int REPLICAS = 2;

  /** Difference between the seeds of successive runs of one try. */
  private static final long RUN_SEED_STEP = 10_000_019L;

  /** Number of runs in each try; {@code -Dfuzz.scale} sets it for a longer test. */
  private static final int RUNS_PER_TRY = Integer.getInteger("fuzz.scale", 1);

  /** Number of steps over all tries, printed at the end for reports. */
  private static long totalSteps;

  private UniformRandomProvider random;
  private CoordinatorHarness[] instances;
  private long incarnations;
  private int requests;
  private List<PendingAttempt> pending;
  private List<RequestKey> keys;
  private Map<RequestKey, Integer> runCounts;
  private Set<RequestKey> reportedNotRun;
  private Map<CallerId, RequestKey>[] waitingCallers;

  /**
   * An attempt that was sent and has not ended.
   *
   * @param instance index of the instance that sent it
   * @param home incarnation that sent it; results are dropped after a restart of the instance
   * @param send the attempt
   */
  private record PendingAttempt(int instance, Home home, Action.Send send) {}

  @Property(tries = 400, seed = "99")
  void eachCallerGetsItsOwnOutcomeOnceAndNotRunIsTrue(
      @ForAll @LongRange(min = 0, max = 10_000_000) long seed) {
    for (int run = 0; run < RUNS_PER_TRY; run++) {
      start(seed + run * RUN_SEED_STEP);
      for (int i = 0; i < STEPS; i++) {
        step();
        totalSteps++;
      }
      finishAll();
    }
  }

  @AfterContainer
  static void report() {
    System.out.println("coordinator fuzz steps: " + totalSteps);
  }

  @SuppressWarnings({"unchecked", "rawtypes"})
  private void start(long seed) {
    random = Policy.newRandom(seed);
    instances = new CoordinatorHarness[INSTANCES];
    waitingCallers = new Map[INSTANCES];
    pending = new ArrayList<>();
    keys = new ArrayList<>();
    runCounts = new HashMap<>();
    reportedNotRun = new HashSet<>();
    incarnations = 0;
    requests = 0;
    for (int i = 0; i < INSTANCES; i++) {
      restart(i, 0);
    }
    notifyPeers();
  }

  private void restart(int i, long now) {
    CoordinatorHarness instance =
        new CoordinatorHarness("i" + i, ++incarnations, Policy.standard());
    instance.now = Math.max(instance.now, now);
    instance.configure(Samples.state(), REPLICAS);
    instances[i] = instance;
    waitingCallers[i] = new HashMap<>();
  }

  private void notifyPeers() {
    Set<Home> all = new HashSet<>();
    for (CoordinatorHarness instance : instances) {
      all.add(instance.home);
    }
    for (CoordinatorHarness instance : instances) {
      Set<Home> others = new HashSet<>(all);
      others.remove(instance.home);
      instance.handle(new Event.PeersChanged(others, INSTANCES));
    }
  }

  private void step() {
    int i = random.nextInt(INSTANCES);
    int action = random.nextInt(100);
    if (action < 25) {
      newRequest(i);
    } else if (action < 35) {
      retryOrAsk(i);
    } else if (action < 75) {
      endAttempt();
    } else if (action < 85) {
      advance(i, 1 + random.nextInt(random.nextInt(20) == 0 ? 3_000 : 60));
    } else if (action < 92) {
      instances[i].reportAllIdle(REPLICAS);
    } else if (action < 94) {
      restart(i, instances[i].now);
      notifyPeers();
    } else if (action < 96) {
      instances[i].handle(new Event.PeersChanged(Set.of(), 1));
    } else if (action < 98) {
      notifyPeers();
    } else {
      reportRandomLeaving(i);
    }
    processActions();
  }

  private void newRequest(int i) {
    CoordinatorHarness home = instances[random.nextInt(INSTANCES)];
    String workspace = random.nextInt(2) == 0 ? "big" : "small";
    keys.add(home.key(workspace, (random.nextInt(2) == 0 ? "p" : "o") + requests++));
    sendRequest(i, keys.get(keys.size() - 1));
  }

  private void sendRequest(int i, RequestKey key) {
    long deadline = 30 + random.nextInt(400);
    Request request =
        isNonRepeatable(key)
            ? instances[i].nonRepeatableRequest(key, deadline)
            : instances[i].pipelineRequest(key, deadline);
    waitingCallers[i].put(instances[i].arrive(request), key);
  }

  private static boolean isNonRepeatable(RequestKey key) {
    return key.id().suffix().startsWith("o");
  }

  private void retryOrAsk(int i) {
    if (keys.isEmpty()) {
      return;
    }
    int newest = Math.min(keys.size(), 10);
    RequestKey key = keys.get(keys.size() - 1 - random.nextInt(newest));
    if (random.nextInt(2) == 0) {
      sendRequest(i, key);
    } else {
      waitingCallers[i].put(instances[i].ask(key), key);
    }
  }

  /**
   * Ends a random attempt with a response, a failure, a duplicate or truncated response, or later.
   */
  private void endAttempt() {
    if (pending.isEmpty()) {
      return;
    }
    PendingAttempt attempt = pending.remove(random.nextInt(pending.size()));
    CoordinatorHarness instance = instances[attempt.instance()];
    if (!instance.home.equals(attempt.home())) {
      return;
    }
    Action.Send send = attempt.send();
    switch (random.nextInt(12)) {
      case 0 -> instance.fail(send, AttemptFailure.Kind.LOST);
      case 1 -> instance.fail(send, AttemptFailure.Kind.ERROR);
      case 2 -> instance.fail(send, AttemptFailure.Kind.REFUSED);
      case 3 -> {
        instance.answer(send);
        instance.answer(send);
      }
      case 4 ->
          instance.handle(
              new Event.Replied(
                  send.attempt(), new StageOutput.Generated("cut", false), Optional.empty()));
      case 5 -> pending.add(attempt);
      default -> instance.answer(send);
    }
  }

  private void advance(int i, long millis) {
    instances[i].advanceMillis(millis);
  }

  private void reportRandomLeaving(int i) {
    var replica = CoordinatorHarness.listedReplicas(REPLICAS).get(random.nextInt(4 * REPLICAS));
    instances[i].handle(
        new Event.Polled(
            replica.service(), replica.id(), new LoadReport(0, 0, random.nextInt(2) == 0)));
  }

  /** Carries out the actions of all instances until none is left, then checks the outcomes. */
  private void processActions() {
    boolean progressed = true;
    while (progressed) {
      progressed = false;
      for (int i = 0; i < INSTANCES; i++) {
        progressed |= processSends(i);
        progressed |= processForwards(i);
      }
    }
    for (int i = 0; i < INSTANCES; i++) {
      checkReplies(i);
    }
  }

  private boolean processSends(int i) {
    CoordinatorHarness instance = instances[i];
    List<Action.Send> sends = List.copyOf(instance.sends);
    instance.sends.clear();
    for (Action.Send send : sends) {
      if (random.nextInt(12) == 0) {
        instance.fail(send, AttemptFailure.Kind.NOT_SENT);
        continue;
      }
      RequestKey key = send.attempt().request();
      if (isNonRepeatable(key)) {
        int count = runCounts.merge(key, 1, Integer::sum);
        assertEquals(1, count, "a non-repeatable request ran more than once: " + key);
        assertTrue(
            !reportedNotRun.contains(key), "a request ran after its verdict \"not run\": " + key);
      }
      pending.add(new PendingAttempt(i, instance.home, send));
    }
    return !sends.isEmpty();
  }

  /** Delivers or drops forwarded requests; forwarded queries are always dropped. */
  private boolean processForwards(int i) {
    List<Action> otherActions = List.copyOf(instances[i].otherActions);
    instances[i].otherActions.clear();
    boolean progressed = false;
    for (Action action : otherActions) {
      if (action instanceof Action.ForwardRequest forward) {
        progressed = true;
        deliverForward(i, forward.home(), forward.caller(), forward.request());
      } else if (action instanceof Action.ForwardAsk ask) {
        progressed = true;
        deliverForward(i, ask.home(), ask.caller(), null);
      }
    }
    return progressed;
  }

  private void deliverForward(int from, Home home, CallerId caller, Request request) {
    for (int i = 0; i < INSTANCES; i++) {
      if (instances[i].home.equals(home) && request != null && random.nextInt(4) != 0) {
        long remaining = request.deadlineNanos() - instances[from].now;
        instances[i].arrive(withDeadline(request, instances[i].now + remaining));
      }
    }
    instances[from].handle(new Event.ForwardLost(caller));
  }

  private static Request withDeadline(Request request, long nanos) {
    return new Request(
        request.key(),
        request.target(),
        request.data(),
        request.repeatable(),
        request.keepAnswer(),
        nanos,
        request.fingerprint());
  }

  private void checkReplies(int i) {
    instances[i].replies.forEach(
        (caller, outcomes) -> {
          assertEquals(1, outcomes.size(), "a caller gets exactly one outcome");
          RequestKey key = waitingCallers[i].remove(caller);
          if (key != null) {
            checkOutcome(key, outcomes.get(0));
          }
        });
    instances[i].replies.clear();
  }

  private void checkOutcome(RequestKey key, Outcome outcome) {
    if (outcome instanceof Outcome.Answered answered) {
      String mark = CoordinatorHarness.requestMark(key);
      String expected = isNonRepeatable(key) ? "{\"mark\":\"" + mark + "\"}" : mark;
      assertEquals(
          expected, answered.answer(), "a caller gets the complete answer to its own request");
      assertTrue(
          !isNonRepeatable(key) || runCounts.containsKey(key),
          "a request has an answer but never ran: " + key);
    } else if (outcome instanceof Outcome.Refused refused
        && refused.verdict() == Outcome.Verdict.NOT_RUN
        && isNonRepeatable(key)
        && refused.reason() != Reason.IDENTIFIER_REUSED) {
      assertTrue(!runCounts.containsKey(key), "a request with verdict \"not run\" has run: " + key);
      reportedNotRun.add(key);
    }
  }

  /**
   * Advances the clocks until all requests have ended, and checks that each caller got an outcome.
   */
  private void finishAll() {
    for (int i = 0; i < INSTANCES; i++) {
      advance(i, 500);
    }
    processActions();
    for (int i = 0; i < INSTANCES; i++) {
      advance(i, 40_000);
    }
    processActions();
    for (int i = 0; i < INSTANCES; i++) {
      assertEquals(Map.of(), waitingCallers[i], "callers without an outcome");
      assertEquals(0, instances[i].coordinator.status().active());
      assertEquals(0, instances[i].coordinator.status().queued());
    }
  }
}
