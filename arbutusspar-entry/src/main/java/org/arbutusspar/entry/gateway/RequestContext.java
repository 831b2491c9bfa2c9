package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.core.placement.LeastLoadPlacement;
import org.arbutusspar.core.placement.Placement;
import org.arbutusspar.core.placement.PromptAffinityPlacement;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.WindowedRetryBudget;
import org.arbutusspar.core.stage.ClientRetryDetector;
import org.arbutusspar.core.stage.ForecastCorrection;
import org.arbutusspar.core.stage.StageResult;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.platform.PieceCalls;
import org.arbutusspar.platform.PlatformSettings;

/**
 * What all requests of an instance share.
 *
 * @param loop runs their decisions
 * @param client sends them to replicas
 * @param replicas the replicas and their load
 * @param engines finds replicas of model engines
 * @param pieces has the pieces of their stages made
 * @param peers the other instances
 * @param bounds time limits and budgets to keep
 * @param retryBudgets retry budgets by service
 * @param corrections of the forecasts of stages, by route
 * @param retryDetectors how long clients usually wait, by route
 * @param log told of decisions
 * @param metrics counts outcomes
 */
record RequestContext(
    EventLoop loop,
    RawClient client,
    ReplicaRegistry replicas,
    EnginePlacement engines,
    PieceDispatcher pieces,
    PeerTable peers,
    PlatformSettings.Bounds bounds,
    Map<String, WindowedRetryBudget> retryBudgets,
    Map<String, ForecastCorrection> forecastCorrections,
    Map<String, ClientRetryDetector> retryDetectors,
    EventLog log,
    GatewayMetrics metrics) {

  private static final Placement AFFINITY = PromptAffinityPlacement.create();
  private static final Placement LEAST_LOAD = LeastLoadPlacement.create();

  static RequestContext create(
      EventLoop loop,
      RawClient client,
      ReplicaRegistry replicas,
      EnginePlacement engines,
      PieceDispatcher pieces,
      PeerTable peers,
      PlatformSettings.Bounds bounds,
      EventLog log,
      GatewayMetrics metrics) {
    return new RequestContext(
        loop,
        client,
        replicas,
        engines,
        pieces,
        peers,
        bounds,
        new HashMap<>(),
        new HashMap<>(),
        new HashMap<>(),
        log,
        metrics);
  }

  Placement placement(boolean modelEngine) {
    return modelEngine ? AFFINITY : LEAST_LOAD;
  }

  /** Returns the data centre in which most of some results lie. */
  Optional<DataCentre> dataCentreOf(List<StageResult> results) {
    Map<DataCentre, Long> bytes = new HashMap<>();
    for (StageResult result : results) {
      replicas
          .dataCentre(PieceCalls.producer(result.handle()))
          .ifPresent(dataCentre -> bytes.merge(dataCentre, result.bytes(), Long::sum));
    }
    return bytes.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
  }

  ForecastCorrection forecastCorrection(String route) {
    return forecastCorrections.computeIfAbsent(route, name -> ForecastCorrection.create());
  }

  /** Takes a request; returns whether its client has probably been refused before. */
  boolean isClientRetry(String route, long clientTimeoutMillis) {
    return retryDetectors
        .computeIfAbsent(route, name -> ClientRetryDetector.create())
        .isClientRetry(clientTimeoutMillis, loop.now());
  }

  /** Counts a client's request for a service. */
  void onRequest(String service) {
    retryBudget(service).onRequest(loop.now());
  }

  /** Takes the right to send a request to a service once more. */
  boolean tryRetry(String service) {
    return retryBudget(service).tryTake(bounds.retryAllowance(), knownInstances(), loop.now());
  }

  /** Returns for each service how many requests may be sent once more now. */
  Map<String, Integer> retriesLeft() {
    Map<String, Integer> left = new HashMap<>();
    retryBudgets.forEach(
        (service, budget) ->
            left.put(
                service,
                (int) budget.available(bounds.retryAllowance(), knownInstances(), loop.now())));
    return left;
  }

  /** Returns the number of instances, live or not, so that a partition enlarges no budget. */
  private int knownInstances() {
    return peers.all().size() + 1;
  }

  private WindowedRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name -> WindowedRetryBudget.create(bounds.retryRatio(), bounds.retryWindowMillis()));
  }
}
