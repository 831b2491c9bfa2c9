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
 * A deployment of one user under one load with one fault, for {@link PolicyRun}.
 *
 * @param name name of the scenario
 * @param trentVale whether it is Trent Vale's deployment, Cojulún's otherwise
 * @param baseRate requests a second before the broadcast
 * @param peakRate requests a second at the broadcast
 * @param broadcastSecond when the broadcast happens
 * @param faults changes of replicas
 * @param faultEndSecond when the fault or the flood counts as ended
 * @param skewed whether most callers use one instance
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

  private static final double PEAK_DECAY_SECONDS = 8;
  private static final double DURATION_SECONDS = 45;
  private static final double FIRST_INSTANCE_SHARE = 0.7;
  private static final int[] WORKSPACE_WEIGHTS = {5, 2, 2, 1, 1};
  private static final int[] WORKSPACE_SHARES = {4, 2, 2, 1, 1};

  /** A change of some replicas at a time. */
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

  double maxRate() {
    return Math.max(baseRate, peakRate);
  }

  double rate(double second) {
    if (second < broadcastSecond) {
      return baseRate;
    }
    double age = (second - broadcastSecond) / PEAK_DECAY_SECONDS;
    return baseRate + (peakRate - baseRate) * Math.exp(-age);
  }

  int drawInstance(UniformRandomProvider random) {
    return skewed && random.nextDouble() < FIRST_INSTANCE_SHARE ? 0 : random.nextInt(instances());
  }

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

  int drawTokens(UniformRandomProvider random) {
    return trentVale ? 30 + random.nextInt(111) : 20 + random.nextInt(101);
  }

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

  /** Returns the requests of mean length that fully loaded engines finish a second. */
  double capacityPerSecond() {
    int engines = trentVale ? 8 : 6;
    double tokens = trentVale ? 85 : 70;
    double millis = (60 + 8 * tokens) * 1.5;
    return engines * 16 * 1_000 / millis;
  }

  /**
   * Returns the share of requests, in percent, that could be answered in time if all had the mean
   * length and no engine ever idled while one waits. A policy that serves more of the short
   * requests can exceed it.
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
      double maxBacklog = capacity * (deadlineSeconds() - 1);
      backlog = Math.min(backlog, maxBacklog);
      double finished = Math.min(backlog, capacity * stepSeconds);
      backlog -= finished;
      answered += finished;
    }
    return 100 * Math.min(1, (answered + backlog) / arrived);
  }
}
