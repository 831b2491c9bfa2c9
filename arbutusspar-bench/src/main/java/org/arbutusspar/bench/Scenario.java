package org.arbutusspar.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.config.ConfigObject;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.CostPrior;
import org.arbutusspar.core.config.Objective;
import org.arbutusspar.core.config.Pipeline;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.config.VersionedObject;
import org.arbutusspar.core.config.Workspace;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.core.id.WorkspaceId;

/**
 * A simulated deployment with its load and faults, for {@link PolicyRun}. The load has a constant
 * base rate. At the broadcast it jumps to the peak rate and then decays exponentially to the base
 * rate. Times are seconds since the start of the run.
 *
 * @param name name of the scenario
 * @param trentVale true for the deployment trentvale, false for cojulun
 * @param baseRate requests a second before the broadcast
 * @param peakRate requests a second at the start of the broadcast
 * @param broadcastSecond start of the broadcast, in seconds
 * @param faults changes of the state of replicas
 * @param faultEndSecond time from which recovery is counted, in seconds: the end of the fault or,
 *     without a fault, the time at which the broadcast counts as over
 * @param skewed whether most clients use the first instance
 */
record Scenario(
    String name,
    boolean trentVale,
    double baseRate,
    double peakRate,
    double broadcastSecond,
    List<Fault> faults,
    double faultEndSecond,
    boolean skewed) {

  /** Time in which the excess over the base rate falls to 1/e. */
  private static final double PEAK_DECAY_SECONDS = 8;

  private static final double DURATION_SECONDS = 45;

  /**
   * Share of requests that go to the first instance if the load is skewed. The other requests are
   * spread evenly over all instances, the first one included.
   */
  private static final double FIRST_INSTANCE_SHARE = 0.7;

  /** Relative number of requests of each workspace. */
  private static final int[] WORKSPACE_WEIGHTS = {5, 2, 2, 1, 1};

  /** Configured workspace shares; the first workspace sends more than its share. */
  private static final int[] WORKSPACE_SHARES = {4, 2, 2, 1, 1};

  /**
   * A change of the state of some replicas. The end of a fault is a further change.
   *
   * @param startSecond time of the change, in seconds
   * @param affected selects the replicas
   * @param slowFactor factor by which their calls take longer; 1 is the normal speed
   * @param dead whether they are dead
   */
  record Fault(
      double startSecond, Predicate<ListedReplica> affected, double slowFactor, boolean dead) {

    boolean affects(ListedReplica replica) {
      return affected.test(replica);
    }
  }

  int instances() {
    return trentVale ? 8 : 6;
  }

  double seconds() {
    return DURATION_SECONDS;
  }

  double deadlineSeconds() {
    return 6;
  }

  ObjectName pipeline() {
    return ObjectName.of("chat");
  }

  /** Returns the highest rate of the run, in requests a second. */
  double maxRate() {
    return Math.max(baseRate, peakRate);
  }

  /** Returns the rate at a time in seconds, in requests a second. */
  double rate(double second) {
    if (second < broadcastSecond) {
      return baseRate;
    }
    double age = (second - broadcastSecond) / PEAK_DECAY_SECONDS;
    return baseRate + (peakRate - baseRate) * Math.exp(-age);
  }

  /** Draws the index of the instance that receives a request. */
  int drawInstance(UniformRandomProvider random) {
    return skewed && random.nextDouble() < FIRST_INSTANCE_SHARE ? 0 : random.nextInt(instances());
  }

  /** Draws the workspace of a request. */
  WorkspaceId drawWorkspace(UniformRandomProvider random) {
    int totalWeight = 0;
    for (int each : WORKSPACE_WEIGHTS) {
      totalWeight += each;
    }
    int remaining = random.nextInt(totalWeight);
    int i = 0;
    while (remaining >= WORKSPACE_WEIGHTS[i]) {
      remaining -= WORKSPACE_WEIGHTS[i++];
    }
    return WorkspaceId.of("w" + i);
  }

  /** Draws the maximum number of tokens of a request. */
  int drawTokens(UniformRandomProvider random) {
    return trentVale ? 30 + random.nextInt(111) : 20 + random.nextInt(101);
  }

  /**
   * Returns the cost model of the replicas of each service. The prior that {@link #config} declares
   * assumes more time per token than the model engines take.
   */
  Map<String, FakeReplica.ServiceModel> serviceModels() {
    return Map.of(
        "enc", new FakeReplica.ServiceModel(16, 4, 0.05, false),
        "ret", new FakeReplica.ServiceModel(16, 12, 0, false),
        "rank", new FakeReplica.ServiceModel(8, 6, 1, false),
        "gen", new FakeReplica.ServiceModel(16, 60, 8, true));
  }

  List<ListedReplica> replicas() {
    List<ListedReplica> list = new ArrayList<>();
    Map<String, Integer> sizes = Map.of("enc", 3, "ret", 3, "rank", 3, "gen", trentVale ? 8 : 6);
    int port = 1;
    for (String service : List.of("enc", "ret", "rank", "gen")) {
      for (int i = 0; i < sizes.get(service); i++) {
        list.add(
            new ListedReplica(
                ReplicaId.of(service + "-" + i),
                ObjectName.of(service),
                new Endpoint("127.0.0.1", port++),
                DataCentre.of("dc" + i % 3),
                false));
      }
    }
    return list;
  }

  ConfigState config() {
    List<ConfigObject> objects = new ArrayList<>();
    objects.add(service("enc", StageKind.ENCODE, 16, new CostPrior(4, 0.05, 0.002)));
    objects.add(service("ret", StageKind.RETRIEVE, 16, new CostPrior(8, 0.0002, 0.002)));
    objects.add(service("rank", StageKind.RERANK, 8, new CostPrior(6, 1, 0.004)));
    objects.add(service("gen", StageKind.GENERATE, 16, new CostPrior(60, 10, 0.02)));
    objects.add(
        new Pipeline(
            pipeline(),
            6_000,
            List.of(
                new Stage(StageKind.ENCODE, ObjectName.of("enc"), 0),
                new Stage(StageKind.RETRIEVE, ObjectName.of("ret"), 20),
                new Stage(StageKind.RERANK, ObjectName.of("rank"), 5),
                new Stage(StageKind.GENERATE, ObjectName.of("gen"), 0))));
    for (int i = 0; i < WORKSPACE_SHARES.length; i++) {
      String hash = String.format("%064x", i);
      objects.add(new Workspace(ObjectName.of("w" + i), hash, WORKSPACE_SHARES[i]));
    }
    objects.add(
        new Objective(Objective.DEFAULT_NAME, trentVale ? 0.3 : 0.8, trentVale ? 0.7 : 0.2));
    return new ConfigState(
        1, objects.stream().map(o -> new VersionedObject(1, o)).toList(), List.of());
  }

  private static Service service(String name, StageKind kind, int slots, CostPrior cost) {
    long catalogueSize = kind == StageKind.RETRIEVE ? 20_000 : 0;
    return new Service(ObjectName.of(name), kind, "m", "", slots, cost, false, true, catalogueSize);
  }

  /**
   * Returns the number of requests of mean length that the model engines finish in a second when
   * all of their slots are in use. A call is taken to need 1.5 times as long in a full batch as
   * alone.
   */
  double capacityPerSecond() {
    int engines = trentVale ? 8 : 6;
    double tokens = trentVale ? 85 : 70;
    double millis = (60 + 8 * tokens) * 1.5;
    return engines * 16 * 1_000 / millis;
  }

  /**
   * Returns the share of requests that could be answered within their deadline if all had the mean
   * length and no engine was idle while a request waited, in percent. A policy that answers more of
   * the short requests can exceed it.
   */
  double capacityPercent() {
    double stepSeconds = 0.01;
    double arrived = 0;
    double answered = 0;
    double backlog = 0;
    double capacity = capacityPerSecond();
    for (double second = 0; second < DURATION_SECONDS; second += stepSeconds) {
      double arriving = rate(second) * stepSeconds;
      arrived += arriving;
      backlog += arriving;
      // Requests beyond this backlog miss the deadline, of which one second is left for the call
      // itself.
      double maxBacklog = capacity * (deadlineSeconds() - 1);
      backlog = Math.min(backlog, maxBacklog);
      double finished = Math.min(backlog, capacity * stepSeconds);
      backlog -= finished;
      answered += finished;
    }
    return 100 * Math.min(1, (answered + backlog) / arrived);
  }
}
