package org.arbutusspar.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.flow.Policy;

/**
 * Compares the policy with its baselines on the same seeds, on virtual time and with small fakes.
 * It measures policies; it is not a model of a cluster.
 */
public final class PolicyFigures {

  private static final double BROADCAST_SECOND = 10;
  private static final double FAULT_START_SECOND = 10;
  private static final double FAULT_END_SECOND = 30;

  private PolicyFigures() {}

  /**
   * Prints the table.
   *
   * @param args number of seeds, 5 unless given
   */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 5;
    System.out.println(
        "deployment scenario policy attainment%[min,max] capacity% price/answer wasted% refused%"
            + " extra% leastWorkspace recovery-s");
    for (boolean trentVale : new boolean[] {false, true}) {
      for (Scenario scenario : scenarios(trentVale)) {
        for (Map.Entry<String, Policy> policy : policies().entrySet()) {
          print(scenario, policy.getKey(), policy.getValue(), seeds);
        }
      }
    }
  }

  private static Map<String, Policy> policies() {
    Map<String, Policy> policies = new LinkedHashMap<>();
    policies.put("standard", Policy.standard());
    policies.put("random", Policy.baseline(Policy.ChooserKind.RANDOM));
    policies.put("roundRobin", Policy.baseline(Policy.ChooserKind.ROUND_ROBIN));
    policies.put("leastInFlight", Policy.baseline(Policy.ChooserKind.LEAST_IN_FLIGHT));
    return policies;
  }

  private static List<Scenario> scenarios(boolean trentVale) {
    double capacity = new Scenario("", trentVale, 1, 1, 0, List.of(), 0, false).capacityPerSecond();
    final double normalRate = 0.5 * capacity;
    List<Scenario> list = new ArrayList<>();
    list.add(loadScenario("quiet", trentVale, 0.2 * capacity, 0.2 * capacity, false));
    for (int peakFactor : new int[] {3, 10, 30}) {
      list.add(
          loadScenario(
              "broadcast-x" + peakFactor, trentVale, 0.2 * capacity, peakFactor * capacity, false));
    }
    list.add(loadScenario("skewed-x3", trentVale, 0.2 * capacity, 3 * capacity, true));
    list.add(
        faultScenario(
            "straggler", trentVale, normalRate, slowdown(r -> r.id().value().endsWith("-1"), 5)));
    list.add(
        faultScenario(
            "rerank-slow", trentVale, normalRate, slowdown(r -> isReplicaOf(r, "rank"), 10)));
    list.add(
        faultScenario(
            "half-pool-lost", trentVale, normalRate, outage(PolicyFigures::isInLostHalf)));
    list.add(
        faultScenario(
            "data-centre-lost",
            trentVale,
            normalRate,
            outage(r -> r.dataCentre().value().equals("dc2"))));
    return list;
  }

  private static boolean isReplicaOf(ListedReplica replica, String service) {
    return replica.service().value().equals(service);
  }

  private static boolean isInLostHalf(ListedReplica replica) {
    String id = replica.id().value();
    return isReplicaOf(replica, "gen") && (id.charAt(id.length() - 1) - '0') % 2 == 1;
  }

  private static Scenario loadScenario(
      String name, boolean trentVale, double baseRate, double peakRate, boolean skewed) {
    return new Scenario(
        name, trentVale, baseRate, peakRate, BROADCAST_SECOND, List.of(), FAULT_END_SECOND, skewed);
  }

  private static Scenario faultScenario(
      String name, boolean trentVale, double rate, List<Scenario.Fault> faults) {
    return new Scenario(
        name, trentVale, rate, rate, BROADCAST_SECOND, faults, FAULT_END_SECOND, false);
  }

  private static List<Scenario.Fault> slowdown(
      Predicate<ListedReplica> affected, double slowFactor) {
    return List.of(
        new Scenario.Fault(FAULT_START_SECOND, affected, slowFactor, false),
        new Scenario.Fault(FAULT_END_SECOND, affected, 1, false));
  }

  private static List<Scenario.Fault> outage(Predicate<ListedReplica> affected) {
    return List.of(
        new Scenario.Fault(FAULT_START_SECOND, affected, 1, true),
        new Scenario.Fault(FAULT_END_SECOND, affected, 1, false));
  }

  private static void print(Scenario scenario, String policyName, Policy policy, int seeds) {
    List<PolicyResult> results = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      results.add(PolicyRun.run(scenario, policy, seed));
    }
    System.out.printf(
        Locale.ROOT,
        "%s %s %s %.1f[%.1f,%.1f] %.1f %.4f %.1f %.1f %.1f %.2f %.1f%n",
        scenario.trentVale() ? "trentvale" : "cojulun",
        scenario.name(),
        policyName,
        mean(results, PolicyResult::attainment),
        results.stream().mapToDouble(PolicyResult::attainment).min().orElse(0),
        results.stream().mapToDouble(PolicyResult::attainment).max().orElse(0),
        scenario.capacityPercent(),
        mean(results, PolicyResult::pricePerAnswer),
        mean(results, PolicyResult::wastedPercent),
        mean(results, f -> 100.0 * f.rejected / Math.max(1, f.requests)),
        mean(results, PolicyResult::extraPercent),
        mean(results, f -> f.worstWorkspaceRatio),
        mean(results, PolicyResult::recoverySeconds));
  }

  private static double mean(List<PolicyResult> results, ToDoubleFunction<PolicyResult> value) {
    return results.stream().mapToDouble(value).average().orElse(0);
  }
}
