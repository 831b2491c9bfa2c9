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

  private static final double BROADCAST = 10;
  private static final double FAULT_START = 10;
  private static final double FAULT_END = 30;

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
    final double normal = 0.5 * capacity;
    List<Scenario> list = new ArrayList<>();
    list.add(plain("quiet", trentVale, 0.2 * capacity, 0.2 * capacity, false));
    for (int times : new int[] {3, 10, 30}) {
      list.add(plain("broadcast-x" + times, trentVale, 0.2 * capacity, times * capacity, false));
    }
    list.add(plain("skewed-x3", trentVale, 0.2 * capacity, 3 * capacity, true));
    list.add(faulty("straggler", trentVale, normal, fault(r -> r.id().value().endsWith("-1"), 5)));
    list.add(faulty("rerank-slow", trentVale, normal, fault(r -> isOf(r, "rank"), 10)));
    list.add(faulty("half-pool-lost", trentVale, normal, death(PolicyFigures::isLostHalf)));
    list.add(
        faulty(
            "data-centre-lost",
            trentVale,
            normal,
            death(r -> r.dataCentre().value().equals("dc2"))));
    return list;
  }

  private static boolean isOf(ListedReplica replica, String service) {
    return replica.service().value().equals(service);
  }

  private static boolean isLostHalf(ListedReplica replica) {
    String id = replica.id().value();
    return isOf(replica, "gen") && (id.charAt(id.length() - 1) - '0') % 2 == 1;
  }

  private static Scenario plain(
      String name, boolean trentVale, double quiet, double peak, boolean skewed) {
    return new Scenario(name, trentVale, quiet, peak, BROADCAST, List.of(), FAULT_END, skewed);
  }

  private static Scenario faulty(
      String name, boolean trentVale, double rate, List<Scenario.Fault> faults) {
    return new Scenario(name, trentVale, rate, rate, BROADCAST, faults, FAULT_END, false);
  }

  private static List<Scenario.Fault> fault(Predicate<ListedReplica> which, double factor) {
    return List.of(
        new Scenario.Fault(FAULT_START, which, factor, false),
        new Scenario.Fault(FAULT_END, which, 1, false));
  }

  private static List<Scenario.Fault> death(Predicate<ListedReplica> which) {
    return List.of(
        new Scenario.Fault(FAULT_START, which, 1, true),
        new Scenario.Fault(FAULT_END, which, 1, false));
  }

  private static void print(Scenario scenario, String policyName, Policy policy, int seeds) {
    List<PolicyFigure> figures = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      figures.add(PolicyRun.run(scenario, policy, seed));
    }
    System.out.printf(
        Locale.ROOT,
        "%s %s %s %.1f[%.1f,%.1f] %.1f %.4f %.1f %.1f %.1f %.2f %.1f%n",
        scenario.trentVale() ? "trentvale" : "cojulun",
        scenario.name(),
        policyName,
        mean(figures, PolicyFigure::attainment),
        figures.stream().mapToDouble(PolicyFigure::attainment).min().orElse(0),
        figures.stream().mapToDouble(PolicyFigure::attainment).max().orElse(0),
        scenario.capacityPercent(),
        mean(figures, PolicyFigure::pricePerAnswer),
        mean(figures, PolicyFigure::wastedPercent),
        mean(figures, f -> 100.0 * f.refused / Math.max(1, f.requests)),
        mean(figures, PolicyFigure::extraPercent),
        mean(figures, f -> f.leastWorkspace),
        mean(figures, PolicyFigure::recoverySeconds));
  }

  private static double mean(List<PolicyFigure> figures, ToDoubleFunction<PolicyFigure> value) {
    return figures.stream().mapToDouble(value).average().orElse(0);
  }
}
