package org.arbutusspar.entry.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.placement.LearnedReplicaPace;
import org.arbutusspar.core.placement.ReplicaPace;
import org.arbutusspar.core.placement.StatedLoad;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.ServedService;
import org.arbutusspar.core.routing.ServingState;
import org.arbutusspar.io.EventLog;

/**
 * Paces of the replicas that start or recover, one for each chooser of this instance. Replicas are
 * paced if their service has a warm-up, or if they state how long work takes.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class ReplicaPaces {

  private final EventLoop loop;
  private final EventLog log;

  /** Pace of the replicas that this instance chooses for all instances. */
  private final LearnedReplicaPace placed =
      LearnedReplicaPace.create(this::isPaced, this::logChange);

  /** Pace of the replicas that each instance chooses for its own requests. */
  private final LearnedReplicaPace chosenAlone =
      LearnedReplicaPace.create(
          service -> isPaced(service) && isChosenAlone(service), this::logChange);

  private final Set<String> servicesWithStatedWork = new HashSet<>();

  /** Services of the configuration in force, by name. */
  private Map<String, ServedService> services = Map.of();

  private ReplicaPaces(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.log = log;
  }

  /**
   * Returns paces that know no replicas.
   *
   * @param loop event loop, not null
   * @param log receives each change, not null
   * @return the paces
   */
  static ReplicaPaces create(EventLoop loop, EventLog log) {
    return new ReplicaPaces(loop, log);
  }

  /** Returns the pace of the replicas that this instance chooses for all instances. */
  ReplicaPace placed() {
    return placed;
  }

  /** Returns the pace of the replicas that each instance chooses for its own requests. */
  ReplicaPace chosenAlone() {
    return chosenAlone;
  }

  private boolean isPaced(String service) {
    return servicesWithStatedWork.contains(service)
        || service(service).flatMap(ServedService::warmUp).isPresent();
  }

  private boolean isChosenAlone(String service) {
    return service(service)
        .filter(spec -> !spec.modelEngine() && spec.pieces().isEmpty())
        .isPresent();
  }

  private Optional<ServedService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  private void logChange(UpstreamReplica replica, LearnedReplicaPace.Change change, int limit) {
    log.write(
        "replica-pace",
        "replica",
        replica.id(),
        "service",
        replica.service(),
        "change",
        change.name().toLowerCase(Locale.ROOT),
        "limit",
        limit);
  }

  /**
   * Applies a new configuration.
   *
   * @param state the configuration's services, not null
   */
  void onState(ServingState state) {
    services = state.services();
  }

  /**
   * Passes the list of replicas to the paces.
   *
   * @param listed the replicas of all services that are not leaving, not null
   */
  void onReplicas(Collection<UpstreamReplica> listed) {
    placed.onListed(listed, loop.now());
    chosenAlone.onListed(listed, loop.now());
  }

  /**
   * Records the load that a replica states.
   *
   * @param replica the replica, not null
   * @param load the load, not null
   */
  void onLoad(UpstreamReplica replica, StatedLoad load) {
    if (load.workPercent().isPresent()) {
      servicesWithStatedWork.add(replica.service());
    }
  }

  /** Returns the number of replicas that are paced, by name of the service. */
  Map<String, Integer> countByService() {
    Map<String, Integer> counts = new HashMap<>(placed.countByService(loop.now()));
    counts.putAll(chosenAlone.countByService(loop.now()));
    return counts;
  }
}
