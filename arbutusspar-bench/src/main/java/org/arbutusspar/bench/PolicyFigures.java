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
 * Compares the standard policy with its baselines in the same scenarios and with the same seeds.
 * The runs are simulations on virtual time with simple fake replicas: the results rank policies,
 * and do not predict the performance of a real cluster.
 */
public final class PolicyFigures {

  private static final double BROADCAST_SECOND = 10;
  private static final double FAULT_START_SECOND = 10;
  private static final double FAULT_END_SECOND = 30;

  private PolicyFigures() {}

  /**
   * Prints a table with one line for each deployment, scenario and policy. The values are averages
   * over the seeds; the attainment has its minimum and maximum beside it.
   *
   * @param args optional number of seeds, 5 by default; the seeds are 1 to this number
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

  /**
   * Returns the scenarios of a deployment. The rates are multiples of the rate that its fully
   * loaded engines sustain.
   *
   * @param trentVale true for the deployment trentvale, false for cojulun
   * @return scenarios with a broadcast of increasing size, and scenarios with a fault at a constant
   *     rate
   */
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

  /**
   * Returns whether a replica is one of the odd-numbered model engines, which one scenario stops.
   */
  private static boolean isInLostHalf(ListedReplica replica) {
    String id = replica.id().value();
    return isReplicaOf(replica, "gen") && (id.charAt(id.length() - 1) - '0') % 2 == 1;
  }

  /**
   * Returns a scenario without faults.
   *
   * @param name name of the scenario
   * @param trentVale true for the deployment trentvale, false for cojulun
   * @param baseRate requests a second before the broadcast
   * @param peakRate requests a second at the start of the broadcast
   * @param skewed whether most clients use one instance
   */
  private static Scenario loadScenario(
      String name, boolean trentVale, double baseRate, double peakRate, boolean skewed) {
    return new Scenario(
        name, trentVale, baseRate, peakRate, BROADCAST_SECOND, List.of(), FAULT_END_SECOND, skewed);
  }

  /**
   * Returns a scenario with a fault at a constant rate.
   *
   * @param name name of the scenario
   * @param trentVale true for the deployment trentvale, false for cojulun
   * @param rate requests a second
   * @param faults start and end of the fault
   */
  private static Scenario faultScenario(
      String name, boolean trentVale, double rate, List<Scenario.Fault> faults) {
    return new Scenario(
        name, trentVale, rate, rate, BROADCAST_SECOND, faults, FAULT_END_SECOND, false);
  }

  /** Returns the start and the end of a slowdown of some replicas by a factor. */
  private static List<Scenario.Fault> slowdown(
      Predicate<ListedReplica> affected, double slowFactor) {
    return List.of(
        new Scenario.Fault(FAULT_START_SECOND, affected, slowFactor, false),
        new Scenario.Fault(FAULT_END_SECOND, affected, 1, false));
  }

  /** Returns the start and the end of an outage of some replicas. */
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
