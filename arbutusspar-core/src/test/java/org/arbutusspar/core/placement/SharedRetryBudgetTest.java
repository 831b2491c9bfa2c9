package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.arbutusspar.core.Nanos;
import org.junit.jupiter.api.Test;

/**
 * Guards against exceeding the shared retry budget after a restart, which loses the counts of an
 * instance: no window may have more retries than all instances together are allowed. A service
 * fails every request, one of nine instances gets most of the traffic, and at random times all
 * instances are killed and restarted.
 */
class SharedRetryBudgetTest {

  private static final int INSTANCES = 9;
  private static final double RATIO = 0.2;
  private static final int ALLOWANCE = 52;
  private static final long WINDOW_NANOS = Nanos.ofMillis(10_000);
  private static final long DURATION_NANOS = Nanos.ofMillis(60_000);
  private static final long STEP_NANOS = Nanos.ofMillis(20);

  private final List<WindowedRetryBudget> budgets = new ArrayList<>();
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  private void restartAllInstances() {
    budgets.clear();
    for (int i = 0; i < INSTANCES; i++) {
      budgets.add(WindowedRetryBudget.create(RATIO, 10_000));
    }
  }

  /**
   * Runs one simulation.
   *
   * @param seed seed of the random numbers
   * @param requestProbability probability of a request in each step
   * @return largest number of retries in a window minus the allowed number
   */
  private double worstExcess(long seed, double requestProbability) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    restartAllInstances();
    double worst = -ALLOWANCE;
    for (long now = 0; now < DURATION_NANOS; now += STEP_NANOS) {
      if (random.nextDouble() < 0.002) {
        restartAllInstances();
      }
      if (random.nextDouble() < requestProbability) {
        WindowedRetryBudget budget =
            budgets.get(random.nextDouble() < 0.6 ? 0 : random.nextInt(INSTANCES));
        budget.onRequest(now);
        requests.add(now);
      }
      for (WindowedRetryBudget budget : budgets) {
        while (budget.tryTake(ALLOWANCE, INSTANCES, now)) {
          retries.add(now);
        }
      }
      removeExpired(requests, now);
      removeExpired(retries, now);
      worst = Math.max(worst, retries.size() - RATIO * requests.size() - ALLOWANCE);
    }
    return worst;
  }

  private static void removeExpired(Deque<Long> times, long now) {
    while (!times.isEmpty() && now - times.getFirst() > WINDOW_NANOS) {
      times.removeFirst();
    }
  }

  @Test
  void instancesRestartedTogetherStayWithinTheSharedRetryBudget() {
    for (long seed = 1; seed <= 20; seed++) {
      for (double requestProbability : new double[] {0.02, 0.2, 0.9}) {
        double excess = new SharedRetryBudgetTest().worstExcess(seed, requestProbability);
        assertTrue(excess <= 0, "seed " + seed + " exceeds the budget by " + excess);
      }
    }
  }
}
