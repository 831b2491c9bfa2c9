package org.arbutusspar.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;

/**
 * Replays requests to engines of which some start, crash and return, through a placer. Each engine
 * reads prompts one after the other, then streams for a fixed time. Times are in milliseconds.
 */
final class StartReplay {

  private static final int SLOTS = 32;
  private static final int MAX_ATTEMPTS = 3;
  private static final long STREAM_MILLIS = 1_000;
  private static final double TOKENS_PER_MILLI = 80;
  private static final long AIM_MILLIS = 1_000;
  private static final long DETECTION_MILLIS = 2;
  private static final int REQUEST_TOKENS = 8_000;

  private final EnginePlacer placer;
  private final Optional<LearnedReplicaPace> pace;
  private final List<Engine> engines = new ArrayList<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Random random = new Random(7);
  private long clock;
  private long nextStep;
  private int sent;
  private int broken;
  private int repeated;
  private int lost;
  private int late;
  private int rejected;

  StartReplay(Optional<LearnedReplicaPace> pace) {
    this.pace = pace;
    placer =
        EnginePlacer.create(
            SendPermits.UNLIMITED,
            pace.<ReplicaPace>map(each -> each).orElse(ReplicaPace.NONE),
            ReplicaSpeeds.EQUAL);
  }

  private static UpstreamReplica replica(int number, long startedAt) {
    return new UpstreamReplica(
        "r" + number + "-" + startedAt,
        "s",
        new Endpoint("10.0.0." + number, 80),
        DataCentre.of("d" + number % 3),
        SLOTS,
        false,
        startedAt);
  }

  /** Adds engines that are listed from the start. */
  StartReplay engines(int count) {
    for (int i = 0; i < count; i++) {
      engines.add(new Engine(replica(engines.size() + 1, clock)));
    }
    publish();
    return this;
  }

  /** Adds an engine at some time. */
  StartReplay join(long at) {
    return step(at, () -> engines(1));
  }

  /** Ends an engine, with all of its requests; it stays listed. */
  StartReplay crash(int number, long at) {
    return step(at, () -> engines.get(number - 1).crash());
  }

  /** Starts an engine again under its identifier, or as another incarnation. */
  StartReplay restart(int number, long at, boolean sameIdentifier, double slowness) {
    return step(
        at,
        () -> {
          Engine engine = engines.get(number - 1);
          engine.replica = sameIdentifier ? engine.replica : replica(number, at);
          engine.up = true;
          engine.slowness = slowness;
          engine.readUntil = clock;
          publish();
        });
  }

  /** Sends requests at random times with a mean rate. */
  StartReplay requests(double perSecond, long from, long until) {
    double at = from;
    while (at < until) {
      step((long) at, this::send);
      at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    }
    return this;
  }

  /** Runs all steps up to a time. */
  StartReplay run(long until) {
    while (!steps.isEmpty() && steps.peek().at <= until) {
      Step next = steps.poll();
      clock = next.at;
      next.task.run();
    }
    clock = until;
    return this;
  }

  private StartReplay step(long at, Runnable task) {
    steps.add(new Step(at, nextStep++, task));
    return this;
  }

  private long now() {
    return Nanos.ofMillis(clock);
  }

  private void publish() {
    List<UpstreamReplica> listed = engines.stream().map(engine -> engine.replica).toList();
    pace.ifPresent(each -> each.onListed(listed, now()));
    placer.replicas(listed);
  }

  private void send() {
    String id = "q" + nextStep++;
    sent++;
    place(id);
  }

  private void place(String id) {
    Optional<UpstreamReplica> chosen =
        placer.place(
            new EnginePlacer.EngineRequest(
                id, "i", List.of(), 0, 0, REQUEST_TOKENS, Optional.empty(), 0, List.of()),
            now());
    if (chosen.isEmpty()) {
      rejected++;
      return;
    }
    engines.stream()
        .filter(engine -> engine.replica.equals(chosen.get()))
        .findFirst()
        .orElseThrow()
        .take(id);
  }

  /** Returns the number of requests that a crash broke off. */
  int broken() {
    return broken;
  }

  /** Returns the number of requests that reached an ended engine, and were sent once more. */
  int repeated() {
    return repeated;
  }

  /** Returns the number of requests that reached an ended engine in their last attempt. */
  int lost() {
    return lost;
  }

  /** Returns the number of requests whose responses started after their aim. */
  int late() {
    return late;
  }

  /** Returns the number of requests that no engine took. */
  int rejected() {
    return rejected;
  }

  /** Returns the requests in flight at an engine relative to the mean of all. */
  double share(int number) {
    double mean = engines.stream().mapToInt(engine -> engine.requests.size()).average().orElse(0);
    return engines.get(number - 1).requests.size() / mean;
  }

  @Override
  public String toString() {
    return "sent "
        + sent
        + ", broken "
        + broken
        + ", repeated "
        + repeated
        + ", lost "
        + lost
        + ", late "
        + late
        + ", rejected "
        + rejected;
  }

  private record Step(long at, long order, Runnable task) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** An engine, and the requests in flight there. */
  private final class Engine {
    private final List<String> requests = new ArrayList<>();
    private UpstreamReplica replica;
    private boolean up = true;
    private double slowness = 1;
    private double readUntil;

    private Engine(UpstreamReplica replica) {
      this.replica = replica;
    }

    private void take(String id) {
      if (!up) {
        step(clock + DETECTION_MILLIS, () -> repeat(id));
        return;
      }
      requests.add(id);
      final long sentAt = clock;
      readUntil = Math.max(readUntil, clock) + REQUEST_TOKENS / TOKENS_PER_MILLI * slowness;
      long begunAt = (long) readUntil;
      step(begunAt, () -> begin(id, begunAt - sentAt));
      step(begunAt + (long) (STREAM_MILLIS * slowness), () -> complete(id));
    }

    private void begin(String id, long elapsedMillis) {
      if (requests.contains(id)) {
        late += elapsedMillis > AIM_MILLIS ? 1 : 0;
        placer.onResponseStarted(id, now());
      }
    }

    private void complete(String id) {
      if (requests.remove(id)) {
        placer.onEnded(id, true, now());
      }
    }

    private void repeat(String id) {
      placer.onEnded(id, false, now());
      if (attempts.merge(id, 1, Integer::sum) < MAX_ATTEMPTS) {
        repeated++;
        place(id);
      } else {
        lost++;
      }
    }

    private void crash() {
      up = false;
      broken += requests.size();
      requests.forEach(id -> placer.onEnded(id, false, now()));
      requests.clear();
    }
  }
}
