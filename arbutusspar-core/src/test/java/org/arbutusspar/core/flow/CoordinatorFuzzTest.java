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
 * Three instances that are killed, cut off and frozen while callers retry anywhere, against an
 * oracle that counts the runs of each non-repeatable request and remembers what callers were told.
 */
class CoordinatorFuzzTest {

  private static final int INSTANCES = 3;
  private static final int STEPS = 600;
  private static final int REPLICAS = 2;
  private static final long RUN_SEED = 10_000_019L;

  /** Runs of each try; set {@code -Dfuzz.scale} for a longer fuzz. */
  private static final int SCALE = Integer.getInteger("fuzz.scale", 1);

  /** Total of steps over all tries, printed so that reports can state it. */
  private static long steps;

  private UniformRandomProvider random;
  private FakeWorld[] worlds;
  private long incarnations;
  private int requests;
  private List<Pending> pending;
  private List<RequestKey> keys;
  private Map<RequestKey, Integer> runs;
  private Set<RequestKey> toldNotRun;
  private Map<CallerId, RequestKey>[] waiting;

  /** An attempt on its way, and whether its upstream has already run it. */
  private record Pending(int instance, Home home, Action.Send send) {}

  @Property(tries = 400, seed = "99")
  void nothingIsLostDoubledOrCrossedAndNotRunIsTrue(
      @ForAll @LongRange(min = 0, max = 10_000_000) long seed) {
    for (int run = 0; run < SCALE; run++) {
      start(seed + run * RUN_SEED);
      for (int i = 0; i < STEPS; i++) {
        step();
        steps++;
      }
      settle();
    }
  }

  @AfterContainer
  static void report() {
    System.out.println("coordinator fuzz steps: " + steps);
  }

  @SuppressWarnings({"unchecked", "rawtypes"})
  private void start(long seed) {
    random = Policy.newRandom(seed);
    worlds = new FakeWorld[INSTANCES];
    waiting = new Map[INSTANCES];
    pending = new ArrayList<>();
    keys = new ArrayList<>();
    runs = new HashMap<>();
    toldNotRun = new HashSet<>();
    incarnations = 0;
    requests = 0;
    for (int i = 0; i < INSTANCES; i++) {
      restart(i, 0);
    }
    notifyPeers();
  }

  private void restart(int i, long now) {
    FakeWorld world = new FakeWorld("i" + i, ++incarnations, Policy.standard());
    world.now = Math.max(world.now, now);
    world.configure(Samples.state(), REPLICAS);
    worlds[i] = world;
    waiting[i] = new HashMap<>();
  }

  private void notifyPeers() {
    Set<Home> all = new HashSet<>();
    for (FakeWorld world : worlds) {
      all.add(world.home);
    }
    for (FakeWorld world : worlds) {
      Set<Home> others = new HashSet<>(all);
      others.remove(world.home);
      world.handle(new Event.PeersChanged(others, INSTANCES));
    }
  }

  private void step() {
    int i = random.nextInt(INSTANCES);
    int kind = random.nextInt(100);
    if (kind < 25) {
      newRequest(i);
    } else if (kind < 35) {
      retryOrAsk(i);
    } else if (kind < 75) {
      endAttempt();
    } else if (kind < 85) {
      pass(i, 1 + random.nextInt(random.nextInt(20) == 0 ? 3_000 : 60));
    } else if (kind < 92) {
      worlds[i].hearAll(REPLICAS);
    } else if (kind < 94) {
      restart(i, worlds[i].now);
      notifyPeers();
    } else if (kind < 96) {
      worlds[i].handle(new Event.PeersChanged(Set.of(), 1));
    } else if (kind < 98) {
      notifyPeers();
    } else {
      leaveSomething(i);
    }
    collect();
  }

  private void newRequest(int i) {
    FakeWorld home = worlds[random.nextInt(INSTANCES)];
    String workspace = random.nextInt(2) == 0 ? "big" : "small";
    keys.add(home.key(workspace, (random.nextInt(2) == 0 ? "p" : "o") + requests++));
    send(i, keys.get(keys.size() - 1));
  }

  private void send(int i, RequestKey key) {
    long deadline = 30 + random.nextInt(400);
    Request request =
        isOnce(key)
            ? worlds[i].onceRequest(key, deadline)
            : worlds[i].pipelineRequest(key, deadline);
    waiting[i].put(worlds[i].arrive(request), key);
  }

  private static boolean isOnce(RequestKey key) {
    return key.id().suffix().startsWith("o");
  }

  private void retryOrAsk(int i) {
    if (keys.isEmpty()) {
      return;
    }
    int newest = Math.min(keys.size(), 10);
    RequestKey key = keys.get(keys.size() - 1 - random.nextInt(newest));
    if (random.nextInt(2) == 0) {
      send(i, key);
    } else {
      waiting[i].put(worlds[i].ask(key), key);
    }
  }

  /** Ends a random attempt in a random way; late, doubled and crossed answers are among them. */
  private void endAttempt() {
    if (pending.isEmpty()) {
      return;
    }
    Pending each = pending.remove(random.nextInt(pending.size()));
    FakeWorld world = worlds[each.instance()];
    if (!world.home.equals(each.home())) {
      return;
    }
    Action.Send send = each.send();
    switch (random.nextInt(12)) {
      case 0 -> world.fail(send, AttemptFailure.Kind.LOST);
      case 1 -> world.fail(send, AttemptFailure.Kind.ERROR);
      case 2 -> world.fail(send, AttemptFailure.Kind.REFUSED);
      case 3 -> {
        world.answer(send);
        world.answer(send);
      }
      case 4 ->
          world.handle(
              new Event.Replied(
                  send.attempt(), new StageOutput.Generated("cut", false), Optional.empty()));
      case 5 -> pending.add(each);
      default -> world.answer(send);
    }
  }

  private void pass(int i, long millis) {
    worlds[i].passMillis(millis);
  }

  private void leaveSomething(int i) {
    var replica = FakeWorld.listed(REPLICAS).get(random.nextInt(4 * REPLICAS));
    worlds[i].handle(
        new Event.Polled(
            replica.service(), replica.id(), new LoadReport(0, 0, random.nextInt(2) == 0)));
  }

  /** Takes what the instances did since the last step. */
  private void collect() {
    boolean found = true;
    while (found) {
      found = false;
      for (int i = 0; i < INSTANCES; i++) {
        found |= collectSends(i);
        found |= collectForwards(i);
      }
    }
    for (int i = 0; i < INSTANCES; i++) {
      collectReplies(i);
    }
  }

  private boolean collectSends(int i) {
    FakeWorld world = worlds[i];
    List<Action.Send> sends = List.copyOf(world.sends);
    world.sends.clear();
    for (Action.Send send : sends) {
      if (random.nextInt(12) == 0) {
        world.fail(send, AttemptFailure.Kind.NOT_SENT);
        continue;
      }
      RequestKey key = send.attempt().request();
      if (isOnce(key)) {
        int count = runs.merge(key, 1, Integer::sum);
        assertEquals(1, count, "a non-repeatable request ran twice: " + key);
        assertTrue(!toldNotRun.contains(key), "ran after \"not run\" was told: " + key);
      }
      pending.add(new Pending(i, world.home, send));
    }
    return !sends.isEmpty();
  }

  /** Hands forwarded requests on at once, later or never, as links do. */
  private boolean collectForwards(int i) {
    List<Action> others = List.copyOf(worlds[i].others);
    worlds[i].others.clear();
    boolean found = false;
    for (Action action : others) {
      if (action instanceof Action.ForwardRequest forward) {
        found = true;
        deliver(i, forward.home(), forward.caller(), forward.request());
      } else if (action instanceof Action.ForwardAsk ask) {
        found = true;
        deliver(i, ask.home(), ask.caller(), null);
      }
    }
    return found;
  }

  private void deliver(int from, Home home, CallerId caller, Request request) {
    for (int i = 0; i < INSTANCES; i++) {
      if (worlds[i].home.equals(home) && request != null && random.nextInt(4) != 0) {
        long remaining = request.deadlineNanos() - worlds[from].now;
        worlds[i].arrive(withDeadline(request, worlds[i].now + remaining));
      }
    }
    worlds[from].handle(new Event.ForwardLost(caller));
  }

  private static Request withDeadline(Request r, long nanos) {
    return new Request(
        r.key(), r.target(), r.data(), r.repeatable(), r.keepAnswer(), nanos, r.fingerprint());
  }

  private void collectReplies(int i) {
    worlds[i].replies.forEach(
        (caller, outcomes) -> {
          assertEquals(1, outcomes.size(), "a caller gets one final answer");
          RequestKey key = waiting[i].remove(caller);
          if (key != null) {
            check(key, outcomes.get(0));
          }
        });
    worlds[i].replies.clear();
  }

  private void check(RequestKey key, Outcome outcome) {
    if (outcome instanceof Outcome.Answered answered) {
      String mark = FakeWorld.mark(key);
      String expected = isOnce(key) ? "{\"mark\":\"" + mark + "\"}" : mark;
      assertEquals(expected, answered.answer(), "a caller gets its own whole answer");
      assertTrue(!isOnce(key) || runs.containsKey(key), "answered without a run: " + key);
    } else if (outcome instanceof Outcome.Refused refused
        && refused.verdict() == Outcome.Verdict.NOT_RUN
        && isOnce(key)
        && refused.reason() != Reason.IDENTIFIER_REUSED) {
      assertTrue(!runs.containsKey(key), "\"not run\" is not true: " + key);
      toldNotRun.add(key);
    }
  }

  /** Lets everything end: each caller that waits at a living instance has its final answer then. */
  private void settle() {
    for (int i = 0; i < INSTANCES; i++) {
      pass(i, 500);
    }
    collect();
    for (int i = 0; i < INSTANCES; i++) {
      pass(i, 40_000);
    }
    collect();
    for (int i = 0; i < INSTANCES; i++) {
      assertEquals(Map.of(), waiting[i], "callers without a final answer");
      assertEquals(0, worlds[i].coordinator.status().active());
      assertEquals(0, worlds[i].coordinator.status().queued());
    }
  }
}
