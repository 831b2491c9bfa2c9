package org.arbutusspar.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.placement.ColdBound;
import org.arbutusspar.core.placement.ColdReplicas;
import org.arbutusspar.core.placement.ReplicaRateLimits;
import org.arbutusspar.core.placement.SendPermits;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.WarmUp;

/**
 * Compares ways to keep the limit on the request rate that a replica has for all instances
 * together, on a virtual clock: permits of one holder, as the instances use them, equal shares of
 * the limit, and a limiter at each instance. For each it prints the largest number of requests in
 * any window against what the users allow, and how much of the limit is used; both for limits that
 * replicas state, and for replicas that are cold all the time.
 */
public final class LimitFigures {

  private static final int[] SIZES = {6, 30, 100, 300};
  private static final int RUN_SECONDS = 120;

  /** Requests for the replica as a multiple of its limit. */
  private static final double DEMAND = 5;

  /** Share of the requests that arrive at one instance if the demand is skewed. */
  private static final double SKEW = 0.8;

  private static final long MIN_DELAY_MICROS = 500;
  private static final int DELAY_SPREAD_MICROS = 3_000;

  /** Mean time between two moves of the role. */
  private static final int MOVE_SECONDS = 20;

  /** Time within which all instances know of a move. */
  private static final int MOVE_MILLIS = 400;

  private static final double ALLOWED_RATIO = 1.5;
  private static final double ALLOWANCE = 5;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MICRO = 1e3;

  private static final UpstreamReplica REPLICA =
      new UpstreamReplica(
          "replica", "service", new Endpoint("10.0.0.1", 80), DataCentre.of("a"), 8, false, 1);

  private final Kind kind;
  private final Way way;
  private final int size;
  private final double perSecond;
  private final Random random;
  private final List<Long> moves = new ArrayList<>();
  private final List<SendPermits> instances = new ArrayList<>();
  private final List<Long> sent = new ArrayList<>();

  /** Ways to keep a limit. */
  private enum Way {
    HOLDER,
    EQUAL_SHARES,
    LOCAL
  }

  /** Why a replica has a limit, with the window of the users' rule and the limits to be run. */
  private enum Kind {
    STATED(4, 0.5, 1.7, 20, 200),
    COLD(1, 1, 10, 100);

    private final double windowSeconds;
    private final double[] limits;

    Kind(double windowSeconds, double... limits) {
      this.windowSeconds = windowSeconds;
      this.limits = limits;
    }

    private double allowed(double perSecond) {
      return ALLOWED_RATIO * windowSeconds * perSecond + ALLOWANCE;
    }
  }

  private record Decision(long at, int decider) {}

  private LimitFigures(Kind kind, Way way, int size, double perSecond, long seed) {
    this.kind = kind;
    this.way = way;
    this.size = size;
    this.perSecond = perSecond;
    this.random = new Random(seed);
  }

  /**
   * Prints the figures.
   *
   * @param args number of seeds
   */
  public static void main(String[] args) {
    int seeds = Integer.parseInt(args[0]);
    System.out.println(
        "kind;way;instances;limit;demand;window s;allowed;worst;breaches;least use;mean use");
    for (Kind kind : Kind.values()) {
      for (Way way : Way.values()) {
        for (int size : SIZES) {
          for (double limit : kind.limits) {
            printRow(kind, way, size, limit, false, seeds);
            printRow(kind, way, size, limit, true, seeds);
          }
        }
      }
    }
  }

  private static void printRow(
      Kind kind, Way way, int size, double limit, boolean skewed, int seeds) {
    double allowed = kind.allowed(limit);
    int worst = 0;
    int breaches = 0;
    double leastUse = Double.MAX_VALUE;
    double totalUse = 0;
    for (int seed = 1; seed <= seeds; seed++) {
      LimitFigures run = new LimitFigures(kind, way, size, limit, seed);
      run.play(skewed);
      int most = run.mostInWindow();
      worst = Math.max(worst, most);
      breaches += most > allowed ? 1 : 0;
      double use = run.sent.size() / (limit * RUN_SECONDS);
      leastUse = Math.min(leastUse, use);
      totalUse += use;
    }
    System.out.printf(
        Locale.ROOT,
        "%s;%s;%d;%.1f;%s;%.0f;%.1f;%d;%d of %d;%.2f;%.2f%n",
        kind.name().toLowerCase(Locale.ROOT),
        way.name().toLowerCase(Locale.ROOT).replace('_', ' '),
        size,
        limit,
        skewed ? "skewed" : "even",
        kind.windowSeconds,
        allowed,
        worst,
        breaches,
        seeds,
        leastUse,
        totalUse / seeds);
  }

  private void play(boolean skewed) {
    long end = Nanos.ofMillis(RUN_SECONDS * 1_000L);
    for (long move = 0; move < end; move += seconds(MOVE_SECONDS * 2 * random.nextDouble())) {
      moves.add(move);
    }
    for (int i = 0; i < size; i++) {
      instances.add(instance(i));
    }
    List<Decision> decisions = new ArrayList<>();
    double rate = perSecond * DEMAND;
    for (long now = 0; now < end; now += seconds(-Math.log(1 - random.nextDouble()) / rate)) {
      int origin = skewed && random.nextDouble() < SKEW ? 0 : random.nextInt(size);
      decisions.add(decision(now, origin));
    }
    decisions.sort(Comparator.comparingLong(Decision::at));
    for (Decision decision : decisions) {
      SendPermits permits = instances.get(decision.decider);
      if (permits.isAvailable(REPLICA, decision.at)) {
        permits.take(REPLICA, decision.at);
        sent.add(decision.at + delay());
      }
    }
  }

  private SendPermits instance(int number) {
    if (way != Way.HOLDER) {
      return new TokenBucket(way == Way.EQUAL_SHARES ? perSecond / size : perSecond);
    }
    ColdReplicas cold = ColdReplicas.create();
    ReplicaRateLimits limits =
        ReplicaRateLimits.create(
            (service, now) -> number == holder(now) ? 1 : 0,
            cold,
            new ColdBound(ALLOWED_RATIO, ALLOWANCE));
    if (kind == Kind.STATED) {
      limits.onStated(REPLICA, perSecond, 0);
    } else {
      long warmUpMillis = RUN_SECONDS * 1_000L;
      cold.warmUps(Map.of(REPLICA.service(), new WarmUp(warmUpMillis, perSecond)), 0);
      cold.onListed(List.of(REPLICA.withWarmUp(warmUpMillis)), 0);
    }
    return limits;
  }

  private Decision decision(long now, int origin) {
    if (way != Way.HOLDER) {
      return new Decision(now, origin);
    }
    long knownUntil = now - Nanos.ofMillis(random.nextInt(MOVE_MILLIS));
    return new Decision(now + delay(), holder(Math.max(0, knownUntil)));
  }

  /** Returns the number of the instance that holds the role at a time. */
  private int holder(long now) {
    int passed = 0;
    while (passed < moves.size() && moves.get(passed) <= now) {
      passed++;
    }
    return passed % Math.min(size, 5);
  }

  private long delay() {
    return (long) ((MIN_DELAY_MICROS + random.nextInt(DELAY_SPREAD_MICROS)) * NANOS_PER_MICRO);
  }

  private static long seconds(double seconds) {
    return (long) (seconds * NANOS_PER_SECOND) + 1;
  }

  private int mostInWindow() {
    List<Long> sorted = sent.stream().sorted().toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) >= seconds(kind.windowSeconds)) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Permits at a constant rate, up to one and those of half a second, for the baselines. */
  private static final class TokenBucket implements SendPermits {
    private static final double BURST_SECONDS = 0.5;
    private final double perSecond;
    private double tokens;
    private long filledAt;

    private TokenBucket(double perSecond) {
      this.perSecond = perSecond;
    }

    @Override
    public boolean isAvailable(UpstreamReplica replica, long now) {
      double added = (now - filledAt) / NANOS_PER_SECOND * perSecond;
      tokens = Math.min(1 + BURST_SECONDS * perSecond, tokens + added);
      filledAt = now;
      return tokens >= 1;
    }

    @Override
    public void take(UpstreamReplica replica, long now) {
      tokens--;
    }
  }
}
