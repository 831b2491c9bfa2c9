package org.arbutusspar.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.placement.ReplicaRateLimits;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the decision whether a request may be sent to a replica that limits its request rate.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RateLimitBenchmark {

  private static final double LIMIT_PER_SECOND = 100;
  private static final long NANOS_PER_DECISION = 10_000;

  /** Number of replicas, all of which state a limit; printed by JMH as a parameter. */
  @Param({"28", "7700"})
  public int replicas;

  private final List<UpstreamReplica> all = new ArrayList<>();
  private ReplicaRateLimits limits;
  private long now;
  private int next;

  /** Creates the replicas with their limits. */
  @Setup
  public void create() {
    limits = ReplicaRateLimits.create((service, time) -> 1);
    for (int i = 0; i < replicas; i++) {
      UpstreamReplica replica =
          new UpstreamReplica(
              "replica-" + i,
              "service-" + i % 30,
              new Endpoint("10.0.0.1", 1 + i),
              DataCentre.of("a"),
              8,
              false,
              1);
      all.add(replica);
      limits.onStated(replica, LIMIT_PER_SECOND, 0);
    }
  }

  /** Returns whether a permit was taken. */
  @Benchmark
  public boolean decision() {
    now += NANOS_PER_DECISION;
    next = next + 1 == replicas ? 0 : next + 1;
    UpstreamReplica replica = all.get(next);
    boolean available = limits.isAvailable(replica, now);
    if (available) {
      limits.take(replica, now);
    }
    return available;
  }
}
