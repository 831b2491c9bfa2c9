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
import org.arbutusspar.core.placement.ReplicaRateLimits;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.WindowedRetryBudget;
import org.arbutusspar.core.routing.HeldBytes;
import org.arbutusspar.core.stage.ClientRetryDetector;
import org.arbutusspar.core.stage.ForecastCorrection;
import org.arbutusspar.core.stage.StageResult;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.platform.PieceCalls;
import org.arbutusspar.platform.PlatformSettings;

/**
 * Objects that all requests of an instance share. The maps are used only on the event loop.
 *
 * @param loop event loop on which requests are decided
 * @param client sends requests to replicas
 * @param replicas the listed replicas and their load
 * @param rateLimits limits on the request rate that replicas have stated
 * @param paces paces of the replicas that start or recover
 * @param announcements applies what replicas announce about themselves
 * @param engines places requests at replicas of model engines
 * @param blocks blocks requests whose content crashes replicas
 * @param crashes keeps requests that crash replicas from being sent on
 * @param pieces dispatches the pieces of stages to their batchers
 * @param peers this instance and its peers
 * @param bounds time limits and retry budget settings
 * @param contention limits of services whose callers compete for capacity; empty on deployments
 *     without rules for that
 * @param heldBytes counts what is held for clients and replicas; empty on the same deployments
 * @param retryBudgets retry budgets by service
 * @param forecastCorrections corrections of the forecast stage times, by route
 * @param retryDetectors detectors of client retries, by route
 * @param log event log
 * @param metrics metrics of the instance
 */
record RequestContext(
    EventLoop loop,
    RawClient client,
    ReplicaRegistry replicas,
    ReplicaRateLimits rateLimits,
    ReplicaPaces paces,
    ReplicaAnnouncements announcements,
    EnginePlacement engines,
    BlockList blocks,
    CrashingRequestGuard crashes,
    PieceDispatcher pieces,
    PeerTable peers,
    PlatformSettings.Bounds bounds,
    Optional<ContendedServices> contention,
    Optional<HeldBytes> heldBytes,
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
      ReplicaRateLimits rateLimits,
      ReplicaPaces paces,
      ReplicaAnnouncements announcements,
      EnginePlacement engines,
      BlockList blocks,
      CrashingRequestGuard crashes,
      PieceDispatcher pieces,
      PeerTable peers,
      PlatformSettings.Bounds bounds,
      Optional<ContendedServices> contention,
      Optional<HeldBytes> heldBytes,
      EventLog log,
      GatewayMetrics metrics) {
    return new RequestContext(
        loop,
        client,
        replicas,
        rateLimits,
        paces,
        announcements,
        engines,
        blocks,
        crashes,
        pieces,
        peers,
        bounds,
        contention,
        heldBytes,
        new HashMap<>(),
        new HashMap<>(),
        new HashMap<>(),
        log,
        metrics);
  }

  Placement placement(boolean modelEngine) {
    return modelEngine ? AFFINITY : LEAST_LOAD;
  }

  /**
   * Returns the data centre that stores most of the bytes of some results.
   *
   * @param results the results, not null
   * @return the data centre, empty if no producing replica is known
   */
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

  /**
   * Records a request and returns whether it is probably a client retry.
   *
   * @param route name of the request's route, not null
   * @param clientTimeoutMillis time for which the client still waits, in milliseconds
   * @return true if an earlier request of the client has probably been rejected
   */
  boolean isClientRetry(String route, long clientTimeoutMillis) {
    return retryDetectors
        .computeIfAbsent(route, name -> ClientRetryDetector.create())
        .isClientRetry(clientTimeoutMillis, loop.now());
  }

  /** Records a client request for a service, which adds to its retry budget. */
  void onRequest(String service) {
    retryBudget(service).onRequest(loop.now());
  }

  /**
   * Takes one retry from the budget of a service.
   *
   * @param service name of the service, not null
   * @return true if the budget permits the retry
   */
  boolean tryRetry(String service) {
    return retryBudget(service).tryTake(bounds.retryAllowance(), knownInstances(), loop.now());
  }

  /** Returns the number of retries that the budget of each service permits now. */
  Map<String, Integer> retriesLeft() {
    Map<String, Integer> left = new HashMap<>();
    retryBudgets.forEach(
        (service, budget) ->
            left.put(
                service,
                (int) budget.available(bounds.retryAllowance(), knownInstances(), loop.now())));
    return left;
  }

  /**
   * Returns the number of known instances, live or not. Each instance gets its part of a retry
   * budget that all instances share, and a network partition must not enlarge that part.
   */
  private int knownInstances() {
    return peers.all().size() + 1;
  }

  private WindowedRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name -> WindowedRetryBudget.create(bounds.retryRatio(), bounds.retryWindowMillis()));
  }
}
